// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The list of servers as discovery knows it, by versions; what it is told becomes known here late.
 */
public final class Registry {

    /** What the list says of a server. */
    public enum Health {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** A line of the list; {@code place} is where the server stands, whatever its id. */
    public record Line(
            String id,
            String place,
            String zone,
            String kind,
            Health health,
            long bornMs,
            long version) {}

    private final Map<String, Line> lines = new LinkedHashMap<>();
    private final List<Line> gone = new ArrayList<>();
    private long version = 1;
    private List<Line> frozen;
    private long frozenVersion;

    /** Notes a server's state; the same as before is no news. */
    public boolean set(
            String id, String place, String zone, String kind, Health health, long bornMs) {
        Line before = lines.get(id);
        if ((before != null && before.health() == health && before.bornMs() == bornMs)
                || (before == null && health == Health.TERMINATED)) {
            return false;
        }
        Line line = new Line(id, place, zone, kind, health, bornMs, ++version);
        if (health == Health.TERMINATED) {
            lines.remove(id);
            gone.add(line);
        } else {
            lines.put(id, line);
        }
        return true;
    }

    /** From now on it tells what it knows now, whatever it is told. */
    public void freeze() {
        frozen = List.copyOf(lines.values());
        frozenVersion = version;
    }

    public void thaw() {
        frozen = null;
    }

    public long version() {
        return frozen == null ? version : frozenVersion;
    }

    public List<Line> whole() {
        return frozen == null ? List.copyOf(lines.values()) : frozen;
    }

    /** Whether this is still the last that is known of its server. */
    public boolean isLatest(Line line) {
        Line listed = lines.get(line.id());
        return listed != null
                ? listed.equals(line)
                : gone.stream()
                        .filter(each -> each.id().equals(line.id()))
                        .reduce((first, last) -> last)
                        .filter(line::equals)
                        .isPresent();
    }

    /** What has changed since a version; a frozen one knows of no change. */
    public List<Line> since(long after) {
        List<Line> news = new ArrayList<>();
        if (frozen == null) {
            gone.stream().filter(line -> line.version() > after).forEach(news::add);
            lines.values().stream().filter(line -> line.version() > after).forEach(news::add);
        }
        return news;
    }
}
