// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import ottergauge.lab.scenario.Scenario.Fault;
import ottergauge.lab.scenario.Scenario.Way;

/**
 * The way between two processes: its two lanes, its open connections, and whether new ones come up.
 */
public final class Link {

    /** What becomes of a connection that is asked for. */
    public enum Door {
        OPEN,
        REFUSES,
        SILENT
    }

    private final Lane there;
    private final Lane back;
    private final Set<Channel> open = new LinkedHashSet<>();
    private Door door = Door.OPEN;
    private Runnable doorMoved = () -> {};
    private boolean resets;

    Link(long seed, long base, long jitter) {
        there = new Lane(seed, base, jitter);
        back = new Lane(~seed, base, jitter);
    }

    /** Bytes to the side that was connected to. */
    public Lane there() {
        return there;
    }

    /** Bytes from the side that was connected to. */
    public Lane back() {
        return back;
    }

    public Door door() {
        return door;
    }

    /** Runs something whenever the door has changed. */
    public void whenDoorMoves(Runnable task) {
        doorMoved = task;
    }

    void opened(Channel channel) {
        open.add(channel);
        channel.closeFuture().addListener(closed -> open.remove(channel));
        if (resets) {
            reset(channel);
        }
    }

    /** Resets what is open. */
    public void resetAll() {
        new ArrayList<>(open).forEach(Link::reset);
    }

    /** The machine at the other side is gone, or back. */
    public void silent(boolean gone) {
        door(gone ? Door.SILENT : Door.OPEN);
    }

    private void door(Door next) {
        door = next;
        doorMoved.run();
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
        switch (fault.what()) {
            case LINK_REFUSE -> door(Door.REFUSES);
            case LINK_RESET -> {
                resets = true;
                resetAll();
            }
            case LINK_DROP -> {
                each(fault.way(), Lane::hold);
                if (fault.way() == Way.BOTH) {
                    door(Door.SILENT);
                }
            }
            case LINK_DELAY -> each(fault.way(), lane -> lane.delay(fault.span(), fault.jitter()));
            case LINK_LOSE -> each(fault.way(), lane -> lane.lose(fault.amount()));
            case LINK_DOUBLE -> each(fault.way(), lane -> lane.twice(fault.amount()));
            case LINK_REORDER -> each(fault.way(), lane -> lane.reorder(fault.amount()));
            case LINK_RATE -> each(fault.way(), lane -> lane.rate(fault.amount()));
            case LINK_CUT -> each(fault.way(), lane -> lane.cut((long) fault.amount()));
            default -> throw new IllegalArgumentException("no fault of a link: " + fault.what());
        }
    }

    /** Ends whatever is wrong with this link. */
    public void heal() {
        resets = false;
        there.heal();
        back.heal();
        if (door != Door.OPEN) {
            door(Door.OPEN);
        }
    }

    private void each(Way way, java.util.function.Consumer<Lane> change) {
        if (way != Way.BACK) {
            change.accept(there);
        }
        if (way != Way.THERE) {
            change.accept(back);
        }
    }
}
