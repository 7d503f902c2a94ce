// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.protocol.ControlPlaneConfig.Endpoint;
import ottergauge.settings.JsonTree;

class ControlPlaneConfigTest {

    private static final String ADDRESSES = "\"addresses\":[{\"address\":\"127.0.0.1:9001\"}]";

    private static ControlPlaneConfig read(String section) throws ProtocolException {
        try {
            return ControlPlaneConfig.of(JsonTree.read(section.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void section_isReadInTheDocumentedForm() throws ProtocolException {
        assertEquals(
                new ControlPlaneConfig(
                        List.of(
                                new Endpoint(new Address("127.0.0.1", 9001), "r1"),
                                new Endpoint(new Address("127.0.0.1", 9002), "r2")),
                        "r1",
                        Set.of("checkout"),
                        "default",
                        4_000_000,
                        8_192,
                        Optional.of("/var/lib/ottergauge"),
                        200_000,
                        64L << 20),
                read(
                        """
                        {"addresses": [{"address": "127.0.0.1:9001", "region": "r1"},
                                       {"address": "127.0.0.1:9002", "region": "r2"}],
                         "region": "r1", "services": ["checkout"], "settings": "default", "within_ms": 4000,
                         "bytes_per_second": 8192, "folder": "/var/lib/ottergauge", "later": {}}\
                        """));
    }

    @Test
    void section_requiresTheAddressesOnly() throws ProtocolException {
        assertEquals(
                new ControlPlaneConfig(
                        List.of(new Endpoint(new Address("127.0.0.1", 9001), "")),
                        "",
                        Set.of(),
                        "default",
                        4_000_000,
                        8_192,
                        Optional.empty(),
                        200_000,
                        64L << 20),
                read("{" + ADDRESSES + "}"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "{} | control.addresses is a list of 1 to 16 objects, not null",
                "{\"addresses\":[]} | control.addresses is a list of 1 to 16 objects, not []",
                "{\"addresses\":[7]} | control.addresses[0] is an object, not 7.0",
                "{\"addresses\":[{\"address\":\"here\"}]} | control.addresses[0].address is a"
                        + " numeric address and a port, not here",
                "{\"addresses\":[{\"address\":\"127.0.0.1:1\",\"region\":7}]} |"
                    + " control.addresses[0].region is 1 to 128 characters of A-Z a-z 0-9 . _ : /"
                    + " -, not 7.0",
                "{\"addresses\":[{\"address\":\"127.0.0.1:1\"},{\"address\":\"127.0.0.1:1\"}]} |"
                        + " control.addresses[1].address is an address that is not there twice, not"
                        + " 127.0.0.1:1"
            })
    void invalidAddress_isNamed(String section, String message) {
        assertEquals(
                message, assertThrows(ProtocolException.class, () -> read(section)).getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "\"region\":\"a b\" | control.region",
                "\"services\":7 | control.services",
                "\"services\":[\"\"] | control.services[0]",
                "\"settings\":{} | control.settings",
                "\"within_ms\":499 | control.within_ms",
                "\"within_ms\":60001 | control.within_ms",
                "\"within_ms\":\"4000\" | control.within_ms",
                "\"within_ms\":4000.5 | control.within_ms",
                "\"bytes_per_second\":0 | control.bytes_per_second",
                "\"folder\":\"\" | control.folder",
                "\"folder\":7 | control.folder",
                "\"folder\":\"a\\u0000b\" | control.folder",
                "\"most_resources\":0 | control.most_resources",
                "\"most_mb\":0 | control.most_mb"
            })
    void invalidField_isNamed(String field, String key) {
        String message =
                assertThrows(
                                ProtocolException.class,
                                () -> read("{" + ADDRESSES + "," + field + "}"))
                        .getMessage();
        assertTrue(message.startsWith(key + " is "), message);
    }

    @Test
    void tooManyServices_areRejected() {
        String many = "\"" + "s".repeat(100) + "\",";
        String message =
                assertThrows(
                                ProtocolException.class,
                                () ->
                                        read(
                                                "{"
                                                        + ADDRESSES
                                                        + ",\"services\":["
                                                        + many.repeat(20)
                                                        + "\"s\"]}"))
                        .getMessage();
        assertEquals(
                "control.services is up to 2000 characters of names, or none for all services, "
                        + "not 2022 characters",
                message);
    }

    @Test
    void configurationWithoutTheSection_hasNoControlPlane() throws ProtocolException {
        String json = new TestConfig().json();
        assertEquals(
                Optional.empty(), NodeConfig.read(json.getBytes(StandardCharsets.UTF_8)).control());
        String with = json.replaceFirst("\\{", "{\"control\":{" + ADDRESSES + "},");
        assertTrue(NodeConfig.read(with.getBytes(StandardCharsets.UTF_8)).control().isPresent());
        String bad = json.replaceFirst("\\{", "{\"control\":7,");
        assertEquals(
                "control is an object, not 7.0",
                assertThrows(
                                ProtocolException.class,
                                () -> NodeConfig.read(bad.getBytes(StandardCharsets.UTF_8)))
                        .getMessage());
    }
}
