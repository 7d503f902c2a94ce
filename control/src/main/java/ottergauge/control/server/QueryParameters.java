// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.Subscription;

/** Parses and validates the query parameters of requests; unknown ones are ignored. */
final class QueryParameters {

    static final long MAX_WAIT_MS = 10_000;
    static final int DEFAULT_PAGE_BYTES = 65_536;

    /**
     * The largest page size in bytes that a client may request. A page exceeds the requested size
     * only if its first entry alone is larger. Even such a page is smaller than the largest page
     * that a node accepts.
     */
    static final int MAX_PAGE_BYTES = 512 * 1024;

    static final int MAX_SERVICES = 1_000;

    // The largest integer up to which JSON numbers (doubles) are exact.
    private static final long MAX_VERSION = 1L << 53;
    private static final String DEFAULT_SETTINGS = "default";

    private final MultiMap values;

    private QueryParameters(MultiMap values) {
        this.values = values;
    }

    static ChangesRequest changes(HttpServerRequest request) throws HttpException {
        QueryParameters parameters = of(request);
        String log = parameters.name("log").orElseThrow(() -> missing("log"));
        LogPosition after = new LogPosition(log, parameters.integer("after", 0, MAX_VERSION, null));
        return new ChangesRequest(
                after,
                parameters.integer("wait_ms", 0, MAX_WAIT_MS, 0L),
                parameters.pageBytes(),
                parameters.subscription(),
                parameters.report(log));
    }

    static SnapshotRequest snapshot(HttpServerRequest request) throws HttpException {
        QueryParameters parameters = of(request);
        return new SnapshotRequest(
                parameters.name("log"),
                parameters.key("from"),
                parameters.pageBytes(),
                parameters.subscription());
    }

    private static QueryParameters of(HttpServerRequest request) throws HttpException {
        try {
            return new QueryParameters(request.params());
        } catch (IllegalArgumentException e) {
            throw new HttpException(
                    HttpStatus.BAD_REQUEST,
                    "the query can't be decoded: "
                            + new FieldError(
                                            "it", String.valueOf(e.getMessage()), "percent-encoded")
                                    .value());
        }
    }

    private Optional<NodeReport> report(String log) throws HttpException {
        Optional<String> node = name("node");
        if (node.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new NodeReport(
                        node.get(),
                        name("region").orElse(""),
                        log,
                        integer("in_force", 0, MAX_VERSION, 0L),
                        integer("refused", 0, MAX_VERSION, 0L)));
    }

    private int pageBytes() throws HttpException {
        return (int) integer("max_bytes", 1, MAX_PAGE_BYTES, (long) DEFAULT_PAGE_BYTES);
    }

    private Subscription subscription() throws HttpException {
        String services = values.get("services");
        if (services == null || services.isEmpty()) {
            return new Subscription(Set.of(), name("settings").orElse(DEFAULT_SETTINGS));
        }
        Set<String> names = new HashSet<>(Arrays.asList(services.split(",", -1)));
        if (names.size() > MAX_SERVICES) {
            throw invalid("services", names.size() + " names", MAX_SERVICES + " names at most");
        }
        for (String name : names) {
            if (!ResourceValidator.isValidName(name)) {
                throw invalid(
                        "services",
                        name,
                        "names with commas between them, each " + ResourceValidator.NAME_FORMAT);
            }
        }
        return new Subscription(Set.copyOf(names), name("settings").orElse(DEFAULT_SETTINGS));
    }

    private Optional<String> name(String key) throws HttpException {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            return Optional.empty();
        }
        if (!ResourceValidator.isValidName(value)) {
            throw invalid(key, value, ResourceValidator.NAME_FORMAT);
        }
        return Optional.of(value);
    }

    private Optional<ResourceKey> key(String parameter) throws HttpException {
        String value = values.get(parameter);
        if (value == null || value.isEmpty()) {
            return Optional.empty();
        }
        Optional<ResourceKey> key =
                ResourceKey.parsePath(value)
                        .filter(each -> ResourceValidator.isValidName(each.name()));
        if (key.isEmpty()) {
            throw invalid(parameter, value, "a kind, / and a name");
        }
        return key;
    }

    private long integer(String key, long min, long max, Long defaultValue) throws HttpException {
        String value = values.get(key);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (value == null) {
            throw missing(key);
        }
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // The error is reported below.
        }
        throw invalid(key, value, "a whole number from " + min + " to " + max);
    }

    private static HttpException missing(String key) {
        return new HttpException(HttpStatus.BAD_REQUEST, key + " is missing");
    }

    private static HttpException invalid(String key, String value, String allowed) {
        return new HttpException(
                HttpStatus.BAD_REQUEST, new FieldError(key, value, allowed).toString());
    }
}
