package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The decisions are printed for the binder taken on call: the files that hold them stay within limits. */
class PolicyFileTest {

    private static final int MOST_LINES = 1200;
    private static final int MOST_CHARACTERS = 110;

    private static List<String> policyLines() throws IOException {
        Matcher policy = Pattern.compile("(?m)^policy = \\[(.*)]$")
            .matcher(Files.readString(Path.of("../deploy/balancer.toml")));
        assertTrue(policy.find(), "deploy/balancer.toml names its policy files");
        List<String> lines = new ArrayList<>();
        Matcher file = Pattern.compile("\"([^\"]+)\"").matcher(policy.group(1));
        while (file.find()) {
            lines.addAll(Files.readAllLines(Path.of("..", file.group(1))));
        }
        return lines;
    }

    @Test
    void thePolicyFitsTheBinder() throws IOException {
        List<String> lines = policyLines();
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled > 0 && filled <= MOST_LINES, filled + " lines that are not blank");
        assertEquals(List.of(), lines.stream().filter(line -> line.length() > MOST_CHARACTERS).toList());
    }

    @Test
    void itsFirstLinesNameTheInterfaceFile() throws IOException {
        assertTrue(policyLines().subList(0, 5).stream().anyMatch(line -> line.contains("Contract.java")));
    }
}
