// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.GRANT;
import static ottergauge.protocol.TestConfig.READ;
import static ottergauge.protocol.TestConfig.requestClass;

import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests which settings a node rejects and which reasons it gives. */
class NodeSettingsTest {

    private static NodeSettings of(String... classes) throws ProtocolException {
        return NodeConfig.read(
                        new TestConfig().classes(classes).json().getBytes(StandardCharsets.UTF_8))
                .settings();
    }

    private static String fault(String... classes) {
        return assertThrows(ProtocolException.class, () -> of(classes)).getMessage();
    }

    private static String[] classesOf(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> requestClass("c" + i, "free", 1000))
                .toArray(String[]::new);
    }

    @Test
    void upTo1024Classes_areAccepted() throws ProtocolException {
        assertEquals(1024, of(classesOf(1024)).decisions().requestClasses().size());
        assertTrue(fault(classesOf(1025)).contains("1 to 1024, not 1025"), fault(classesOf(1025)));
        assertTrue(fault().contains("no classes"), fault());
    }

    @Test
    void duplicateClass_isRejected() throws ProtocolException {
        assertEquals(2, of(READ, GRANT).decisions().requestClasses().size());
        String fault = fault(READ, GRANT, requestClass("read", "single_shot", 500));
        assertTrue(fault.contains("not read twice"), fault);
    }

    @Test
    void forNode_changesTheNodeIndexOnly() throws ProtocolException {
        NodeSettings shared = of(READ);
        NodeSettings own = shared.forNode(7);
        assertEquals(7, own.decisions().nodeIndex());
        assertEquals(shared, own.forNode(shared.decisions().nodeIndex()));
    }
}
