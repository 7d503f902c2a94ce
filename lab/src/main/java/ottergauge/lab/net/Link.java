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
 * The way between two processes: its two lanes, its open connections, and whether new ones come up.
 */
public final class Link {

    /** What becomes of a connection that is asked for. */
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

    /** Bytes to the side that was connected to. */
    public OneWayLink forward() {
        return forward;
    }

    /** Bytes from the side that was connected to. */
    public OneWayLink backward() {
        return backward;
    }

    public AcceptMode acceptMode() {
        return acceptMode;
    }

    /** Runs something whenever the door has changed. */
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

    /** Resets what is open. */
    public void resetAll() {
        new ArrayList<>(open).forEach(Link::reset);
    }

    /** The machine at the other side is gone, or back. */
    public void setSilent(boolean loseAll) {
        acceptMode(loseAll ? AcceptMode.SILENT : AcceptMode.OPEN);
    }

    private void acceptMode(AcceptMode next) {
        acceptMode = next;
        acceptModeListener.run();
    }

    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    static void reset(Channel channel) {
        // Not by force: the stand-in behind it has to hear of its end.
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Begins what a fault does to this link. */
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
            default ->
                    throw new IllegalArgumentException("no fault of a link: " + fault.faultKind());
        }
    }

    /** Ends whatever is wrong with this link. */
    public void heal() {
        resetNew = false;
        forward.heal();
        backward.heal();
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
