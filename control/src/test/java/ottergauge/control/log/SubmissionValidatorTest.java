// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import ottergauge.resources.FieldError;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.Submission;

/** Tests which submissions are valid for the current state. */
class SubmissionValidatorTest extends ChangeLogFixture {

    @Test
    void serverOfUnknownService_isRejected() {
        assertError(
                "put[0].value.service",
                "checkout",
                "a service that exists",
                rejected(SubmissionBuilder.of("a").server("s-1", "checkout")));
        accepted(SubmissionBuilder.of("b").server("s-1", "checkout").service("checkout"));
    }

    @Test
    void serverMovedToAnotherService_isRejected() {
        accepted(
                SubmissionBuilder.of("a")
                        .service("checkout")
                        .service("search")
                        .server("s-1", "checkout"));
        assertError(
                "put[0].value.service",
                "search",
                "checkout, the service that the resource belongs to",
                rejected(SubmissionBuilder.of("b").server("s-1", "search")));
        accepted(SubmissionBuilder.of("c").server("s-1", "checkout", 2));
    }

    @Test
    void deleteOfReferencedService_isRejected() {
        accepted(
                SubmissionBuilder.of("a")
                        .service("checkout")
                        .server("s-1", "checkout")
                        .route("r", "checkout"));
        String allowed = "a service that no server and no route names; this one has ";
        assertError(
                "delete[0].name",
                "checkout",
                allowed + 2,
                rejected(SubmissionBuilder.of("b").delete(ResourceKind.SERVICE, "checkout")));
        assertError(
                "delete[1].name",
                "checkout",
                allowed + 1,
                rejected(
                        SubmissionBuilder.of("c")
                                .delete(ResourceKind.SERVER, "s-1")
                                .delete(ResourceKind.SERVICE, "checkout")));
        accepted(
                SubmissionBuilder.of("d")
                        .delete(ResourceKind.SERVICE, "checkout")
                        .delete(ResourceKind.SERVER, "s-1")
                        .delete(ResourceKind.ROUTE, "r"));
        assertEquals(0, log.size());
    }

    @Test
    void serverPutWithDeletedService_isRejected() {
        accepted(SubmissionBuilder.of("a").service("checkout"));
        assertError(
                "put[0].value.service",
                "checkout",
                "a service that exists",
                rejected(
                        SubmissionBuilder.of("b")
                                .server("s-1", "checkout")
                                .delete(ResourceKind.SERVICE, "checkout")));
    }

    @Test
    void deleteOfUnknownResource_isRejected() {
        assertError(
                "delete[0].name",
                "gold",
                "a tenant that exists",
                rejected(SubmissionBuilder.of("a").delete(ResourceKind.TENANT, "gold")));
    }

    @Test
    void errors_areLimitedToOneHundred() {
        SubmissionBuilder many = SubmissionBuilder.of("a");
        for (int i = 0; i < 150; i++) {
            many.server("s-" + i, "checkout");
        }
        List<FieldError> errors = rejected(many);
        assertEquals(100, errors.size());
        assertEquals("put[99].value.service", errors.get(99).key());
    }

    @Test
    void malformedEntry_isRejected() {
        assertEquals(
                "put[0].value.requests_per_second",
                rejected(SubmissionBuilder.of("a").tenant("gold", -3)).get(0).key());
        assertFalse(
                rejected(SubmissionBuilder.of("b").tenant("gold", 1).tenant("gold", 2)).isEmpty());
        assertFalse(rejected(SubmissionBuilder.of("c")).isEmpty());
        assertFalse(rejected(SubmissionBuilder.of("not a name").tenant("gold", 1)).isEmpty());
    }

    @Test
    void oversizedChange_isRejected() {
        SubmissionBuilder oversized = SubmissionBuilder.of("a");
        String name = "t".repeat(120);
        for (int i = 0; i < 1_000; i++) {
            oversized.tenant(name + i, 1);
        }
        assertEquals("262144 bytes of the change at most", rejected(oversized).get(0).allowed());
    }

    @Test
    void resources_areLimitedInNumber() {
        for (int change = 0;
                change < StateLimits.MAX_RESOURCES / ResourceValidator.MAX_ENTRIES;
                change++) {
            SubmissionBuilder tenants = SubmissionBuilder.of("id-" + change);
            for (int i = 0; i < ResourceValidator.MAX_ENTRIES; i++) {
                tenants.tenant(change + "-" + i, 1);
            }
            accepted(tenants);
        }
        assertError(
                "put",
                "200001 resources in all",
                "200000 resources in all at most",
                rejected(SubmissionBuilder.of("more").tenant("gold", 1)));
        accepted(SubmissionBuilder.of("another-value").tenant("0-0", 2));
        accepted(
                SubmissionBuilder.of("one-for-another")
                        .tenant("gold", 1)
                        .delete(ResourceKind.TENANT, "0-0"));
    }

    @Test
    void resources_areLimitedInBytes() {
        ResourceValue longValue = new ResourceValue.Service("d".repeat(1_000));
        int changes = 0;
        while (log.apply(services("id-" + changes, changes, longValue))
                instanceof SubmissionOutcome.Accepted) {
            changes++;
        }
        long bytes = 230L * (changes + 1) * (1_000 + JsonPageBuilder.ENTRY_OVERHEAD);
        assertTrue(bytes > StateLimits.MAX_STATE_BYTES * 9 / 10, "rejected after " + bytes);
        assertInstanceOf(
                SubmissionOutcome.Accepted.class,
                log.apply(services("shorter", 0, new ResourceValue.Service(""))));
        assertInstanceOf(
                SubmissionOutcome.Accepted.class,
                log.apply(services("fits-now", changes, longValue)));
    }

    private static Submission services(String id, int change, ResourceValue value) {
        SubmissionBuilder services = SubmissionBuilder.of(id);
        for (int i = 0; i < 230; i++) {
            services.put(ResourceKind.SERVICE, change + "-" + i, value);
        }
        return services.build();
    }
}
