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

/** Answers admin requests: health, metrics, the servers' status, and their maintenance. */
final class AdminState {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final Metrics metrics;
    private final EndpointRegistry registry;
    private final Function<String, EndpointStatus> statuses;
    private final Consumer<EndpointList> maintenanceChanged;
    private final Consumer<Effect> effects;

    /**
     * Creates the admin state of the servers in the registry.
     *
     * @param statuses gives a server's status by its name
     * @param maintenanceChanged receives the endpoints that change; the change is effective when it
     *     returns
     */
    AdminState(
            Metrics metrics,
            EndpointRegistry registry,
            Function<String, EndpointStatus> statuses,
            Consumer<EndpointList> maintenanceChanged,
            Consumer<Effect> effects) {
        this.metrics = metrics;
        this.registry = registry;
        this.statuses = statuses;
        this.maintenanceChanged = maintenanceChanged;
        this.effects = effects;
    }

    /** Handles a request on an admin connection. */
    void handle(long now, boolean ready, long connection, AdminRequest request) {
        if (request instanceof AdminRequest.Health) {
            respond(
                    connection,
                    ready ? OK : UNAVAILABLE,
                    ready ? "serving\n" : "starting or stopping\n");
        } else if (request instanceof AdminRequest.Stats) {
            respond(connection, OK, metrics.text(registry.names().size(), unavailableServers()));
        } else if (request instanceof AdminRequest.Servers) {
            respond(connection, OK, servers());
        } else if (request instanceof AdminRequest.StartMaintenance start) {
            startMaintenance(now, connection, start.server());
        } else if (request instanceof AdminRequest.EndMaintenance end) {
            endMaintenance(now, connection, end.server());
        }
    }

    private int unavailableServers() {
        int unavailable = 0;
        for (String name : registry.names()) {
            if (statuses.apply(name) != EndpointStatus.ACTIVE) {
                unavailable++;
            }
        }
        return unavailable;
    }

    private String servers() {
        StringBuilder text = new StringBuilder();
        for (String name : registry.names()) {
            String status =
                    registry.isInMaintenance(name) ? "held" : statusName(statuses.apply(name));
            text.append(name).append(' ').append(status).append('\n');
        }
        for (String name : registry.inMaintenanceExcept(registry.names())) {
            text.append(name).append(" held, unlisted\n");
        }
        return text.toString();
    }

    // The names that operators' tools read; see docs/operations.md.
    private static String statusName(EndpointStatus status) {
        return switch (status) {
            case ACTIVE -> "used";
            case DRAINING -> "draining";
            case EJECTED -> "barred";
            case UNRESPONSIVE -> "mute";
        };
    }

    // The change is effective before the operator receives the response: no request is sent to the
    // server after that.
    private void startMaintenance(long now, long connection, String server) {
        if (!registry.contains(server)) {
            respond(connection, NOT_FOUND, "unknown server\n");
            return;
        }
        maintenanceChanged.accept(registry.startMaintenance(server, now));
        if (registry.isInMaintenance(server)) {
            effects.accept(new StoreMaintenance(server, registry.maintenanceSince(server)));
            respond(connection, OK, "held\n");
        } else {
            respond(connection, CONFLICT, "too many servers are held out\n");
        }
    }

    private void endMaintenance(long now, long connection, String server) {
        if (!registry.contains(server)) {
            respond(connection, NOT_FOUND, "unknown server\n");
            return;
        }
        effects.accept(new ClearMaintenance(server));
        maintenanceChanged.accept(registry.endMaintenance(now, server));
        respond(connection, OK, "back\n");
    }

    /** The stored maintenance was read, since another process of the node may have changed it. */
    void maintenanceLoaded(long now, Map<String, Long> sinceByServer) {
        sinceByServer.forEach(
                (name, since) -> maintenanceChanged.accept(registry.startMaintenance(name, since)));
        registry.inMaintenanceExcept(sinceByServer.keySet())
                .forEach(name -> maintenanceChanged.accept(registry.endMaintenance(now, name)));
    }

    private void respond(long connection, int status, String text) {
        effects.accept(new RespondToAdmin(connection, status, text));
    }
}
