package martenlatch.frontend.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the shipped settings file and the message for each kind of invalid field. */
class ExtProcSettingsTest {

    private static final Path SHIPPED = Path.of("../deploy/extproc.toml");

    @TempDir
    Path folder;

    private String rejectionMessage(String from, String to) throws IOException {
        String text = Files.readString(SHIPPED);
        String changed = text.replaceFirst("(?m)^" + from + ".*$", to);
        Path file = Files.writeString(folder.resolve("x.toml"), changed);
        return assertThrows(
                        IllegalArgumentException.class,
                        () -> ExtProcSettings.read(file).requireValidWith(ExtProcFixture.BALANCER_SETTINGS))
                .getMessage();
    }

    @Test
    void shippedFileIsValid() throws IOException {
        ExtProcSettings read = ExtProcSettings.read(SHIPPED).requireValidWith(ExtProcFixture.BALANCER_SETTINGS);
        assertEquals(9901, read.listen().getPort());
        assertEquals(2000, read.maxStreams());
        assertEquals(250, read.connectTimeoutMs());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "listen|listen = \"everywhere\"|field listen is not usable: everywhere",
                "listen||field listen is missing",
                "max-streams|max-streams = 0|field max-streams is not usable: 0; it must be a whole number from 1 to "
                        + "100000",
                "max-streams|max-streams = 1.5|field max-streams is not usable: 1.5; it must be a whole number "
                        + "from 1 to 100000",
                "silence-ms||field silence-ms is missing",
                "remember-ms|remember-ms = 2999|field remember-ms is not usable: 2999; it must be at least the "
                        + "longest deadline of a class, 3000",
                "max-streams|max-streems = 5|field max-streems is unknown; there are [listen, max-streams, "
                        + "next-consultation-ms, proxy, remember-most, remember-ms, silence-ms]",
                "connect-timeout-ms|connect-timeout-ms = 351|field proxy.message-timeout-ms is not usable: 100; with "
                        + "proxy.connect-timeout-ms (351) and 50 for a busy machine it must stay within the drain's "
                        + "grace of 500"
            })
    void invalidFieldIsNamedWithItsValue(String from, String to, String expected) throws IOException {
        assertEquals(expected, rejectionMessage(from, to == null ? "" : to));
    }

    @Test
    void missingOrMalformedFileIsNamed() throws IOException {
        assertEquals(
                "the settings file is not there: /nowhere.toml",
                assertThrows(IllegalArgumentException.class, () -> ExtProcSettings.read(Path.of("/nowhere.toml")))
                        .getMessage());
        Path file = Files.writeString(folder.resolve("y.toml"), "= 1");
        assertEquals(
                true,
                assertThrows(IllegalArgumentException.class, () -> ExtProcSettings.read(file))
                        .getMessage()
                        .contains("is not TOML"));
    }
}
