package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import martenlatch.site.SiteConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a valid configuration is read and that errors name the invalid field and value. */
class SiteConfigTest {

    @TempDir
    Path folder;

    private SiteConfig read(String original, String replacement) throws IOException {
        try (FakeEndpoint endpoint = FakeEndpoint.answering(200, "", "");
                SidecarFixture fixture = new SidecarFixture(endpoint)) {
            assertTrue(fixture.config().contains(original), original);
            return SiteConfig.read(Files.writeString(
                    folder.resolve("config.json"), fixture.config().replace(original, replacement)));
        }
    }

    @Test
    void validFileIsRead() throws IOException {
        SiteConfig config = read("", "");
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(1024, config.maxDescriptors());
        assertEquals(15_000, config.idleCloseMs());
        assertEquals(1, config.cachedEndpointList().version());
        assertEquals(
                "s0", config.cachedEndpointList().entries().get(0).endpoint().id());
        assertEquals(3, config.settings().classes().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"listen\":\"127.0.0.1:0\",||listen is missing",
                "127.0.0.1:0|localhost:0|listen is not usable: localhost:0",
                "127.0.0.1:0|127.0.0.1:70000|listen is not usable: 127.0.0.1:70000",
                "8c1f30d27a5be964|zz|seed is not usable: zz",
                "\"sockets\":1024|\"sockets\":-1|limits.sockets is not usable: -1",
                "in_service|asleep|servers[].state is not usable: asleep",
                "\"idle-close-ms\":15000|\"idle-close-ms\":0|settings.limits.idle-close-ms is not usable: 0",
                "\"dial-timeout-ms\":2000,||settings.limits.dial-timeout-ms is missing",
                "\"effect\":\"once\"|\"effect\":\"twice\"|effect is unknown: twice",
                "\"azs\":[\"a\"]|\"azs\":5|settings.azs is not usable: 5"
            })
    void missingOrInvalidFieldIsNamed(String original, String replacement, String expectedMessage) {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> read(original, replacement == null ? "" : replacement));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }

    @Test
    void fileThatIsNotJsonIsNamed() throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), "{\"name\":");
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> SiteConfig.read(file));
        assertTrue(e.getMessage().contains(file + " is not JSON"), e.getMessage());
    }
}
