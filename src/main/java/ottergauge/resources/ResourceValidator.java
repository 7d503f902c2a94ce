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
 * Validates resources, changes and submissions, whatever their source. Each error names the field,
 * its value and the allowed form.
 */
public final class ResourceValidator {

    /** The most entries of one change, puts and deletes together. */
    public static final int MAX_ENTRIES = 1_000;

    /** The allowed form of the names of resources, submissions, logs, nodes and regions. */
    public static final String NAME_FORMAT = "1 to 128 characters of A-Z a-z 0-9 . _ : / -";

    static final int MAX_DESCRIPTION_CHARACTERS = 1_024;
    static final int MAX_PATH_CHARACTERS = 1_024;
    static final double MAX_RATE = 1e9;
    static final int MAX_OPEN_REQUESTS = 1_000_000;
    static final double MAX_WEIGHT = 1e6;
    static final double MAX_SHARE = 1e6;
    static final int MAX_BLOCK = Integer.MAX_VALUE;

    private static final int MAX_PORT = 65_535;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");
    private static final Pattern PATH_PREFIX = Pattern.compile("/[\\x21-\\x7e&&[^?#]]*");
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";
    private static final Pattern NUMERIC_HOST =
            Pattern.compile(
                    OCTET
                            + "(\\."
                            + OCTET
                            + "){3}|\\[?[0-9A-Fa-f]{0,4}(:[0-9A-Fa-f]{0,4}){2,7}\\]?");

    private ResourceValidator() {}

    /** Whether a text is a valid name. */
    public static boolean isValidName(String text) {
        return NAME.matcher(text).matches();
    }

    /** The first error of a change; empty if it is valid. */
    public static Optional<FieldError> firstError(Change change) {
        FieldErrors errors = new FieldErrors();
        check(change, errors);
        return errors.first();
    }

    static void check(Change change, FieldErrors errors) {
        if (change.version() < 1) {
            errors.add("version", change.version(), "a whole number from 1 on");
        }
        check(change.puts(), change.deletes().stream().map(Change.Delete::key).toList(), errors);
        for (int i = 0; i < change.deletes().size(); i++) {
            String service = change.deletes().get(i).service();
            if (!service.isEmpty()) {
                checkName("delete[" + i + "].service", service, errors);
            }
        }
    }

    /**
     * The errors of a submission itself. Whether it can be applied to the current state is not
     * checked here.
     */
    public static List<FieldError> errors(Submission submission) {
        FieldErrors errors = new FieldErrors();
        check(submission, errors);
        return errors.all();
    }

    static void check(Submission submission, FieldErrors errors) {
        checkName("id", submission.id(), errors);
        if (submission.puts().isEmpty() && submission.deletes().isEmpty()) {
            errors.add("put", "nothing", "one entry at least, here or in delete");
        }
        check(submission.puts(), submission.deletes(), errors);
    }

    private static void check(
            List<Change.Put> puts, List<ResourceKey> deletes, FieldErrors errors) {
        int entries = puts.size() + deletes.size();
        if (entries > MAX_ENTRIES) {
            errors.add(
                    "put",
                    entries + " entries",
                    MAX_ENTRIES + " entries at most, with those of delete");
            return;
        }
        Set<ResourceKey> seen = new HashSet<>();
        for (int i = 0; i < puts.size(); i++) {
            Change.Put put = puts.get(i);
            check("put[" + i + "]", put.key(), put.value(), errors);
            requireUnique("put[" + i + "]", put.key(), seen, errors);
        }
        for (int i = 0; i < deletes.size(); i++) {
            checkName("delete[" + i + "].name", deletes.get(i).name(), errors);
            requireUnique("delete[" + i + "]", deletes.get(i), seen, errors);
        }
    }

    private static void requireUnique(
            String path, ResourceKey key, Set<ResourceKey> seen, FieldErrors errors) {
        if (!seen.add(key)) {
            errors.add(path, key + " again", "a resource that the change has no other entry of");
        }
    }

    /** The first error of a resource; empty if it is valid. */
    public static Optional<FieldError> firstError(ResourceKey key, ResourceValue value) {
        FieldErrors errors = new FieldErrors();
        check("", key, value, errors);
        return errors.first();
    }

    /** Adds all errors of an entry, whose field paths begin with {@code path}. */
    static void check(String path, ResourceKey key, ResourceValue value, FieldErrors errors) {
        String prefix = path.isEmpty() ? "" : path + ".";
        checkName(prefix + "name", key.name(), errors);
        if (key.kind() != value.kind()) {
            errors.add(
                    prefix + "kind",
                    key.kind().wireName(),
                    value.kind().wireName() + " for its value");
        }
        checkValue(prefix + "value", key.name(), value, errors);
    }

    private static void checkValue(
            String path, String name, ResourceValue value, FieldErrors errors) {
        if (value instanceof Service service) {
            checkText(
                    path + ".description",
                    service.description(),
                    MAX_DESCRIPTION_CHARACTERS,
                    errors);
        } else if (value instanceof Server server) {
            checkServer(path, name, server, errors);
        } else if (value instanceof Route route) {
            checkRoute(path, route, errors);
        } else if (value instanceof Tenant tenant) {
            checkTenant(path, tenant, errors);
        } else if (value instanceof Settings settings) {
            SettingsValidator.check(path, settings.tree(), errors);
        }
    }

    private static void checkServer(String path, String name, Server server, FieldErrors errors) {
        checkName(path + ".service", server.service(), errors);
        if (!server.endpoint().name().equals(name)) {
            errors.add(path + ".host", server.endpoint().name(), "the resource's name");
        }
        String host = server.endpoint().address().host();
        int port = server.endpoint().address().port();
        if (!NUMERIC_HOST.matcher(host).matches() || port < 1 || port > MAX_PORT) {
            errors.add(path + ".dial", server.endpoint().address(), "a numeric address and a port");
        }
        if (server.endpoint().zone() != null) {
            checkName(path + ".site", server.endpoint().zone(), errors);
        }
        if (server.endpoint().kind() != null) {
            checkName(path + ".class", server.endpoint().kind(), errors);
        }
        checkRange(path + ".block", server.endpoint().cell(), 0, MAX_BLOCK, errors);
        checkRange(path + ".share", server.endpoint().weight(), 0, MAX_SHARE, errors);
        checkRange(
                path + ".born_ms",
                (double) server.endpoint().startedAtMs(),
                0,
                FieldReader.MAX_SAFE_INTEGER,
                errors);
    }

    private static void checkRoute(String path, Route route, FieldErrors errors) {
        checkName(path + ".service", route.service(), errors);
        if (route.pathPrefix().length() > MAX_PATH_CHARACTERS
                || !PATH_PREFIX.matcher(route.pathPrefix()).matches()) {
            errors.add(
                    path + ".path_prefix",
                    route.pathPrefix(),
                    "a path that begins with / and has up to "
                            + MAX_PATH_CHARACTERS
                            + " visible characters, no ? and no #");
        }
        checkName(path + ".request_class", route.requestClass(), errors);
    }

    private static void checkTenant(String path, Tenant tenant, FieldErrors errors) {
        checkRange(path + ".requests_per_second", tenant.requestsPerSecond(), 0, MAX_RATE, errors);
        checkRange(path + ".burst", tenant.burst(), 0, MAX_RATE, errors);
        checkRange(path + ".open_requests", tenant.openRequests(), 0, MAX_OPEN_REQUESTS, errors);
        checkRange(path + ".weight", tenant.weight(), 0, MAX_WEIGHT, errors);
    }

    static void checkName(String path, String name, FieldErrors errors) {
        if (!isValidName(name)) {
            errors.add(path, name, NAME_FORMAT);
        }
    }

    static void checkText(String path, String text, int max, FieldErrors errors) {
        if (text.length() > max || !isPlainText(text)) {
            errors.add(
                    path, text, "a text of up to " + max + " characters and no control characters");
        }
    }

    /** Whether a text has neither control characters nor unpaired surrogates. */
    static boolean isPlainText(String text) {
        return text.codePoints()
                .noneMatch(
                        point ->
                                Character.isISOControl(point)
                                        || (point >= Character.MIN_SURROGATE
                                                && point <= Character.MAX_SURROGATE));
    }

    // The condition is negated so that NaN is also out of range.
    static void checkRange(String path, double value, double min, double max, FieldErrors errors) {
        if (!(value >= min && value <= max)) {
            errors.add(
                    path,
                    NumberText.of(value),
                    "a number from " + NumberText.of(min) + " to " + NumberText.of(max));
        }
    }
}
