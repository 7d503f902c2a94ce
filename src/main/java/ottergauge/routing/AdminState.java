// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import ottergauge.decision.api.EndpointStatus;
import ottergauge.protocol.EndpointList;
import ottergauge.routing.Effect.ClearMaintenance;
import ottergauge.routing.Effect.RespondToAdmin;
import ottergauge.routing.Effect.StoreMaintenance;

/** What operators ask and change: figures, how servers stand, and which of them are held out. */
final class AdminState {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final Metrics figures;
    private final EndpointRegistry roster;
    private final Function<String, EndpointStatus> standings;
    private final Consumer<EndpointList> changed;
    private final Consumer<Effect> effects;

    /**
     * {@code changed} takes what a hand changes of the list; what follows from it happens at once.
     */
    AdminState(
            Metrics figures,
            EndpointRegistry roster,
            Function<String, EndpointStatus> standings,
            Consumer<EndpointList> changed,
            Consumer<Effect> effects) {
        this.figures = figures;
        this.roster = roster;
        this.standings = standings;
        this.changed = changed;
        this.effects = effects;
    }

    void asked(long now, boolean serving, long caller, AdminRequest call) {
        if (call instanceof AdminRequest.Health) {
            tell(
                    caller,
                    serving ? OK : UNAVAILABLE,
                    serving ? "serving\n" : "starting or stopping\n");
        } else if (call instanceof AdminRequest.Stats) {
            int unavailable =
                    (int)
                            roster.names().stream()
                                    .filter(name -> standings.apply(name) != EndpointStatus.ACTIVE)
                                    .count();
            tell(caller, OK, figures.text(roster.names().size(), unavailable));
        } else if (call instanceof AdminRequest.Servers) {
            tell(caller, OK, servers());
        } else if (call instanceof AdminRequest.StartMaintenance maint) {
            takeOut(now, caller, maint.server());
        } else if (call instanceof AdminRequest.EndMaintenance ready) {
            putBack(now, caller, ready.server());
        }
    }

    private String servers() {
        StringBuilder text = new StringBuilder();
        roster.names()
                .forEach(
                        name ->
                                text.append(name)
                                        .append(' ')
                                        .append(
                                                roster.holds(name)
                                                        ? "held"
                                                        : listed(standings.apply(name)))
                                        .append('\n'));
        roster.heldBeside(roster.names())
                .forEach(name -> text.append(name).append(" held, unlisted\n"));
        return text.toString();
    }

    // The words are part of the management interface.
    private static String listed(EndpointStatus status) {
        return switch (status) {
            case ACTIVE -> "used";
            case DRAINING -> "draining";
            case EJECTED -> "barred";
            case UNRESPONSIVE -> "mute";
        };
    }

    // What a call brings comes before the yes: from then on nothing new may begin at a server that
    // is out.
    private void takeOut(long now, long caller, String server) {
        if (!roster.knows(server)) {
            tell(caller, NOT_FOUND, "unknown server\n");
            return;
        }
        changed.accept(roster.hold(server, now));
        if (roster.holds(server)) {
            effects.accept(new StoreMaintenance(server, roster.heldSince(server)));
            tell(caller, OK, "held\n");
        } else {
            tell(caller, CONFLICT, "too many servers are held out\n");
        }
    }

    private void putBack(long now, long caller, String server) {
        if (!roster.knows(server)) {
            tell(caller, NOT_FOUND, "unknown server\n");
            return;
        }
        effects.accept(new ClearMaintenance(server));
        changed.accept(roster.release(now, server));
        tell(caller, OK, "back\n");
    }

    /** Another process of this node may have been the one that was told. */
    void heldRead(long now, Map<String, Long> since) {
        since.forEach((name, at) -> changed.accept(roster.hold(name, at)));
        roster.heldBeside(since.keySet())
                .forEach(name -> changed.accept(roster.release(now, name)));
    }

    private void tell(long caller, int status, String text) {
        effects.accept(new RespondToAdmin(caller, status, text));
    }
}
