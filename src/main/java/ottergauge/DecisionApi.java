// SPDX-License-Identifier: Apache-2.0
package ottergauge;

import java.util.List;

/**
 * The interface of the decision module {@link Decide}: what it is told, and what it may ask for.
 *
 * <p>All times are microseconds: instants on the clock of the events, spans as differences of it.
 * Classes, zones and kinds are indices into the settings' lists; -1 stands for none.
 */
public final class DecisionApi {

    private DecisionApi() {}

    // ---- Settings -------------------------------------------------------------------------------

    /** What a repeat of a request may do. */
    public enum Repeat {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers drop repeats of a keyed request together. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How the server list reaches the node. */
    public enum Discovery {
        PUSHED,
        ON_REQUEST
    }

    /** A class of requests; {@code window} is how long repeats of a keyed request are dropped. */
    public record RequestClass(
            String name,
            Repeat repeat,
            Group group,
            long aim,
            long deadline,
            long window,
            double worth,
            double lateWorth,
            boolean streamed) {}

    /** What the deployment permits. */
    public record Limits(
            boolean probes,
            boolean cancel,
            boolean retryAfter,
            int maxAttempts,
            long maxRetryAfter) {}

    /** The figures of the rules on answers, drains and cold servers. */
    public record Rules(
            long answerSlack,
            long drainGrace,
            double coldFrom,
            long coldFor,
            double tipMultiple,
            long fallAfter) {}

    /**
     * What is taken off the result for each unit: a probe a request; 100 open connections a server.
     */
    public record Prices(double probe, double connection) {}

    /**
     * All that a node is told at its start; but for how the list reaches it, all may change while
     * it runs. No two classes have one name. {@code round}: the least span between two instants at
     * which it hears anything; {@code repeatsMarked}: clients mark their repeats; {@code warmKeys}:
     * a server that served a key lately has less work with it.
     */
    public record Settings(
            int node,
            int nodes,
            int zone,
            long round,
            Discovery discovery,
            boolean reportsLoad,
            boolean repeatsMarked,
            boolean warmKeys,
            Limits limits,
            Rules rules,
            Prices prices,
            List<RequestClass> classes) {}

    // ---- Events ---------------------------------------------------------------------------------

    /** A server's load as it reported it; a value that is absent is NaN. */
    public record LoadReport(
            double inFlight,
            double queued,
            double utilization,
            double latencyMicros,
            double requestsPerSecond) {
        public static final LoadReport NONE =
                new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** How an attempt or a probe ended. */
    public enum Result {
        SERVED,
        ERROR,
        REJECTED,
        TIMED_OUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        NOT_SENT;

        /** Whether this result proves that the attempt never ran. */
        public boolean neverRan() {
            return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    public enum ServerState {
        UP,
        DRAINING,
        GONE
    }

    /** One line of the server list; {@code startedAt} is 0 when the server has run for long. */
    public record ListedServer(
            long id,
            int zone,
            int kind,
            int cell,
            ServerState state,
            double nominal,
            long startedAt) {}

    public enum ListScope {
        CHANGES,
        FULL,
        LAST_KNOWN
    }

    /** Something the node learns. */
    public sealed interface Event {}

    public record ServerList(ListScope scope, List<ListedServer> servers) implements Event {}

    /**
     * Other settings are in force from this instant on, together with this list. Requests that were
     * taken before keep the class and the limits that they were taken with; classes of later ones
     * are indices into the new settings.
     */
    public record SettingsChanged(Settings settings, ServerList servers) implements Event {}

    /** A list request failed, or the subscription broke. */
    public record ListFailed() implements Event {}

    /**
     * A request; {@code key} is what it is about, and requests of one key are related; 0 for none.
     */
    public record RequestArrived(
            String id, int requestClass, long giveUpAt, boolean clientRepeat, long key)
            implements Event {}

    /** The answer of a streamed class has begun: the attempt now belongs to the client. */
    public record AnswerStarted(String id, int attempt) implements Event {}

    /**
     * The body of a request passes to the attempt's server as it comes: it cannot be sent again,
     * and no time runs until all of it has passed.
     */
    public record BodyPassing(String id, int attempt) implements Event {}

    /** The last byte of such a body has passed: the server begins now. */
    public record BodyPassed(String id, int attempt) implements Event {}

    /**
     * An attempt ended; {@code over} says that its request needs no answer of this node any more.
     */
    public record AttemptEnded(
            String id,
            int attempt,
            long server,
            Result result,
            long elapsed,
            boolean over,
            LoadReport report)
            implements Event {}

    public record ClientGone(String id) implements Event {}

    public record ProbeEnded(long server, Result result, long elapsed, LoadReport report)
            implements Event {}

    public record TimerFired(String token) implements Event {}

    // ---- Questions ------------------------------------------------------------------------------

    /**
     * How the module treats a server: it sends nothing to one that drains, is barred or is mute.
     */
    public enum Standing {
        USED,
        DRAINING,
        BARRED,
        MUTE
    }

    /** What may be asked of the module at any time; asking changes nothing. */
    public interface Insight {
        Standing standing(long at, long server);

        /** Whether an attempt that was asked for a while ago may begin at this instant. */
        boolean mayBegin(long at, String id, int attempt);
    }

    // ---- Actions --------------------------------------------------------------------------------

    /** Something the node is to do. */
    public sealed interface Action {}

    /** Starts the request's next attempt; a time-out of 0 lasts until the client stops waiting. */
    public record Send(String id, long server, long timeout) implements Action {}

    public record Cancel(String id, int attempt) implements Action {}

    /**
     * A final answer that promises a retry is harmless; {@code retryAfter} of 0 gives no advice.
     */
    public record Refuse(String id, long retryAfter) implements Action {}

    /** A final answer that promises nothing. */
    public record Fail(String id) implements Action {}

    public record Probe(long server) implements Action {}

    /** Asks the discovery service for changes from now on. */
    public record Subscribe() implements Action {}

    public record SetTimer(long delay, String token) implements Action {}

    /** Where the module puts its actions, in the order they are to happen. */
    @FunctionalInterface
    public interface ActionSink {
        void accept(Action action);
    }
}
