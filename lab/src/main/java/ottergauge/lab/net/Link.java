// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import ottergauge.lab.scenario.Scenario.Direction;
import ottergauge.lab.scenario.Scenario.Fault;

/**
 * The simulated network link between two processes: its two directions, its open connections, and
 * how it treats new connections.
 */
public final class Link {

    /** How an attempt to connect is treated: accepted, refused, or never responded to. */
    public enum AcceptMode {
        OPEN,
        REFUSE,
        SILENT
    }

    private final OneWayLink forward;
    private final OneWayLink backward;
    private final Set<Channel> open = new LinkedHashSet<>();
    private AcceptMode acceptMode = AcceptMode.OPEN;
    private Runnable acceptModeListener = () -> {};
    private boolean resetNew;

    Link(long seed, long base, long jitter) {
        forward = new OneWayLink(seed, base, jitter);
        backward = new OneWayLink(~seed, base, jitter);
    }

    /** The direction towards the side that accepts connections. */
    public OneWayLink forward() {
        return forward;
    }

    /** The direction from the side that accepts connections. */
    public OneWayLink backward() {
        return backward;
    }

    public AcceptMode acceptMode() {
        return acceptMode;
    }

    /** Sets a task that runs after each change of {@link #acceptMode}. */
    public void onAcceptModeChange(Runnable task) {
        acceptModeListener = task;
    }

    void opened(Channel channel) {
        open.add(channel);
        channel.closeFuture().addListener(closed -> open.remove(channel));
        if (resetNew) {
            reset(channel);
        }
    }

    /** Resets all open connections. */
    public void resetAll() {
        new ArrayList<>(open).forEach(Link::reset);
    }

    /**
     * Simulates that the machine at the accepting side has disappeared from the network, or is
     * back.
     */
    public void setSilent(boolean silent) {
        acceptMode(silent ? AcceptMode.SILENT : AcceptMode.OPEN);
    }

    private void acceptMode(AcceptMode next) {
        acceptMode = next;
        acceptModeListener.run();
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    static void reset(Channel channel) {
        // Uses close() instead of a forcible close, so that the stand-in's handlers are notified.
        // With SO_LINGER 0, close() sends a TCP reset.
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Starts a fault on this link. */
    public void apply(Fault fault) {
        switch (fault.faultKind()) {
            case LINK_REFUSE -> acceptMode(AcceptMode.REFUSE);
            case LINK_RESET -> {
                resetNew = true;
                resetAll();
            }
            case LINK_DROP -> {
                each(fault.direction(), OneWayLink::hold);
                if (fault.direction() == Direction.BOTH) {
                    acceptMode(AcceptMode.SILENT);
                }
            }
            case LINK_DELAY ->
                    each(fault.direction(), oneWay -> oneWay.delay(fault.span(), fault.jitter()));
            case LINK_LOSE -> each(fault.direction(), oneWay -> oneWay.lose(fault.amount()));
            case LINK_DOUBLE -> each(fault.direction(), oneWay -> oneWay.duplicate(fault.amount()));
            case LINK_REORDER -> each(fault.direction(), oneWay -> oneWay.reorder(fault.amount()));
            case LINK_RATE -> each(fault.direction(), oneWay -> oneWay.rate(fault.amount()));
            case LINK_CUT -> each(fault.direction(), oneWay -> oneWay.cut((long) fault.amount()));
            default -> throw new IllegalArgumentException("not a link fault: " + fault.faultKind());
        }
    }

    /** Ends all faults of this link. */
    public void clearFaults() {
        resetNew = false;
        forward.clearFaults();
        backward.clearFaults();
        if (acceptMode != AcceptMode.OPEN) {
            acceptMode(AcceptMode.OPEN);
        }
    }

    private void each(Direction direction, java.util.function.Consumer<OneWayLink> change) {
        if (direction != Direction.BACK) {
            change.accept(forward);
        }
        if (direction != Direction.THERE) {
            change.accept(backward);
        }
    }
}
