// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import ottergauge.resources.ResourceValue.Route;
import ottergauge.resources.ResourceValue.Server;
import ottergauge.resources.ResourceValue.Service;
import ottergauge.resources.ResourceValue.Settings;
import ottergauge.resources.ResourceValue.Tenant;

/**
 * Says what is wrong with resources and changes, by key, value and allowed form, wherever they come
 * from.
 */
public final class ResourceChecks {

    /** Puts and deletes of one change, together. */
    public static final int MOST_ENTRIES = 1_000;

    /** The form of names: of resources, submissions, logs, nodes and regions. */
    public static final String NAME_FORM = "1 to 128 characters of A-Z a-z 0-9 . _ : / -";

    static final int MOST_DESCRIPTION_CHARACTERS = 1_024;
    static final int MOST_PATH_CHARACTERS = 1_024;
    static final double MOST_RATE = 1e9;
    static final int MOST_OPEN_REQUESTS = 1_000_000;
    static final double MOST_WEIGHT = 1e6;
    static final double MOST_SHARE = 1e6;
    static final int MOST_BLOCK = Integer.MAX_VALUE;

    private static final int MOST_PORT = 65_535;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");
    private static final Pattern PATH_PREFIX = Pattern.compile("/[\\x21-\\x7e&&[^?#]]*");
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";
    private static final Pattern NUMERIC_HOST =
            Pattern.compile(
                    OCTET
                            + "(\\."
                            + OCTET
                            + "){3}|\\[?[0-9A-Fa-f]{0,4}(:[0-9A-Fa-f]{0,4}){2,7}\\]?");

    private ResourceChecks() {}

    /** Whether a text has the form of names. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** The first thing that is wrong with a change, if anything is. */
    public static Optional<FieldError> fault(Change change) {
        FieldErrors faults = new FieldErrors();
        check(change, faults);
        return faults.first();
    }

    static void check(Change change, FieldErrors faults) {
        if (change.version() < 1) {
            faults.add("version", change.version(), "a whole number from 1 on");
        }
        check(change.puts(), change.deletes().stream().map(Change.Delete::key).toList(), faults);
        for (int i = 0; i < change.deletes().size(); i++) {
            String service = change.deletes().get(i).service();
            if (!service.isEmpty()) {
                checkName("delete[" + i + "].service", service, faults);
            }
        }
    }

    /**
     * All that is wrong with a submission, up to a bound; whether it fits the state is not asked
     * here.
     */
    public static List<FieldError> faults(Submission submission) {
        FieldErrors faults = new FieldErrors();
        check(submission, faults);
        return faults.all();
    }

    static void check(Submission submission, FieldErrors faults) {
        checkName("id", submission.id(), faults);
        if (submission.puts().isEmpty() && submission.deletes().isEmpty()) {
            faults.add("put", "nothing", "one entry at least, here or in delete");
        }
        check(submission.puts(), submission.deletes(), faults);
    }

    private static void check(
            List<Change.Put> puts, List<ResourceKey> deletes, FieldErrors faults) {
        int entries = puts.size() + deletes.size();
        if (entries > MOST_ENTRIES) {
            faults.add(
                    "put",
                    entries + " entries",
                    MOST_ENTRIES + " entries at most, with those of delete");
            return;
        }
        Set<ResourceKey> seen = new HashSet<>();
        for (int i = 0; i < puts.size(); i++) {
            Change.Put put = puts.get(i);
            check("put[" + i + "]", put.key(), put.value(), faults);
            checkNew("put[" + i + "]", put.key(), seen, faults);
        }
        for (int i = 0; i < deletes.size(); i++) {
            checkName("delete[" + i + "].name", deletes.get(i).name(), faults);
            checkNew("delete[" + i + "]", deletes.get(i), seen, faults);
        }
    }

    private static void checkNew(
            String path, ResourceKey key, Set<ResourceKey> seen, FieldErrors faults) {
        if (!seen.add(key)) {
            faults.add(path, key + " again", "a resource that the change has no other entry of");
        }
    }

    /** The first thing that is wrong with a resource's key or value, if anything is. */
    public static Optional<FieldError> fault(ResourceKey key, ResourceValue value) {
        FieldErrors faults = new FieldErrors();
        check("", key, value, faults);
        return faults.first();
    }

    /** Reports all that is wrong with an entry, by keys that begin with a path. */
    static void check(String path, ResourceKey key, ResourceValue value, FieldErrors faults) {
        String prefix = path.isEmpty() ? "" : path + ".";
        checkName(prefix + "name", key.name(), faults);
        if (key.kind() != value.kind()) {
            faults.add(
                    prefix + "kind",
                    key.kind().wireName(),
                    value.kind().wireName() + " for its value");
        }
        checkValue(prefix + "value", key.name(), value, faults);
    }

    private static void checkValue(
            String path, String name, ResourceValue value, FieldErrors faults) {
        if (value instanceof Service service) {
            checkText(
                    path + ".description",
                    service.description(),
                    MOST_DESCRIPTION_CHARACTERS,
                    faults);
        } else if (value instanceof Server server) {
            checkServer(path, name, server, faults);
        } else if (value instanceof Route route) {
            checkRoute(path, route, faults);
        } else if (value instanceof Tenant tenant) {
            checkTenant(path, tenant, faults);
        } else if (value instanceof Settings settings) {
            SettingsChecks.check(path, settings.tree(), faults);
        }
    }

    private static void checkServer(String path, String name, Server server, FieldErrors faults) {
        checkName(path + ".service", server.service(), faults);
        if (!server.host().name().equals(name)) {
            faults.add(path + ".host", server.host().name(), "the resource's name");
        }
        String host = server.host().address().host();
        int port = server.host().address().port();
        if (!NUMERIC_HOST.matcher(host).matches() || port < 1 || port > MOST_PORT) {
            faults.add(path + ".dial", server.host().address(), "a numeric address and a port");
        }
        if (server.host().zone() != null) {
            checkName(path + ".site", server.host().zone(), faults);
        }
        if (server.host().kind() != null) {
            checkName(path + ".class", server.host().kind(), faults);
        }
        checkRange(path + ".block", server.host().cell(), 0, MOST_BLOCK, faults);
        checkRange(path + ".share", server.host().weight(), 0, MOST_SHARE, faults);
        checkRange(
                path + ".born_ms",
                (double) server.host().startedAtMs(),
                0,
                FieldReader.MOST_WHOLE,
                faults);
    }

    private static void checkRoute(String path, Route route, FieldErrors faults) {
        checkName(path + ".service", route.service(), faults);
        if (route.pathPrefix().length() > MOST_PATH_CHARACTERS
                || !PATH_PREFIX.matcher(route.pathPrefix()).matches()) {
            faults.add(
                    path + ".path_prefix",
                    route.pathPrefix(),
                    "a path that begins with / and has up to "
                            + MOST_PATH_CHARACTERS
                            + " visible characters, no ? and no #");
        }
        checkName(path + ".request_class", route.requestClass(), faults);
    }

    private static void checkTenant(String path, Tenant tenant, FieldErrors faults) {
        checkRange(path + ".requests_per_second", tenant.requestsPerSecond(), 0, MOST_RATE, faults);
        checkRange(path + ".burst", tenant.burst(), 0, MOST_RATE, faults);
        checkRange(path + ".open_requests", tenant.openRequests(), 0, MOST_OPEN_REQUESTS, faults);
        checkRange(path + ".weight", tenant.weight(), 0, MOST_WEIGHT, faults);
    }

    static void checkName(String path, String name, FieldErrors faults) {
        if (!isName(name)) {
            faults.add(path, name, NAME_FORM);
        }
    }

    static void checkText(String path, String text, int most, FieldErrors faults) {
        if (text.length() > most || !isPlainText(text)) {
            faults.add(
                    path,
                    text,
                    "a text of up to " + most + " characters and no control characters");
        }
    }

    /**
     * Whether a text can be written as UTF-8 and on one line: no control characters, no half
     * characters.
     */
    static boolean isPlainText(String text) {
        return text.codePoints()
                .noneMatch(
                        point ->
                                Character.isISOControl(point)
                                        || (point >= Character.MIN_SURROGATE
                                                && point <= Character.MAX_SURROGATE));
    }

    // Written so that NaN fails.
    static void checkRange(
            String path, double value, double least, double most, FieldErrors faults) {
        if (!(value >= least && value <= most)) {
            faults.add(
                    path,
                    NumberText.of(value),
                    "a number from " + NumberText.of(least) + " to " + NumberText.of(most));
        }
    }
}
