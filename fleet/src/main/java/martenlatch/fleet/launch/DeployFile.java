package martenlatch.fleet.launch;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import martenlatch.toml.TomlFile;

/**
 * The command that starts a sidecar in a deployment, read from {@code deploy/balancer.toml}.
 *
 * @param root the directory that relative paths in the command refer to
 * @param command the program and its arguments, without the shell's {@code exec}
 */
public record DeployFile(Path root, List<String> command) {

    private static final String EXEC_PREFIX = "exec ";
    private static final String JAR_OPTION = "-jar";
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";

    /** Reads the deploy file of a checkout.
     *
     * @throws IllegalArgumentException if the command cannot be used; the message names the field and its value */
    public static DeployFile read(Path root) throws IOException {
        JsonNode run = TomlFile.read(root.resolve("deploy/balancer.toml")).path("run");
        String line = run.asText("");
        if (!line.startsWith(EXEC_PREFIX) || line.chars().anyMatch(c -> "\"'$`|&;<>(){}\\".indexOf(c) >= 0)) {
            throw new IllegalArgumentException("run must be exec and a plain command but is " + run);
        }
        List<String> words =
                Arrays.asList(line.substring(EXEC_PREFIX.length()).trim().split("\\s+"));
        int at = words.indexOf(JAR_OPTION);
        if (at < 0 || at + 1 >= words.size()) {
            throw new IllegalArgumentException("run must name a jar by -jar but is " + run);
        }
        return new DeployFile(root, List.copyOf(words));
    }

    /** Returns the path of the jar that the command starts. */
    public Path jar() {
        return root.resolve(command.get(command.indexOf(JAR_OPTION) + 1));
    }

    /** Returns the same command with {@code word} appended. */
    public DeployFile withArgument(String word) {
        List<String> next = new ArrayList<>(command);
        next.add(word);
        return new DeployFile(root, List.copyOf(next));
    }

    /**
     * Returns the same command with the jar of another build. A class archive fits one build only, so it is left out
     * unless that build's archive is next to its jar.
     *
     * @throws IllegalArgumentException if the jar does not exist
     */
    public DeployFile withJar(Path jar) {
        if (!Files.isRegularFile(jar)) {
            throw new IllegalArgumentException("the jar is not built: " + jar);
        }
        List<String> next = new ArrayList<>();
        for (String word : command) {
            if (word.startsWith(ARCHIVE_OPTION)) {
                Path archive = jar.resolveSibling(
                        Path.of(word.substring(ARCHIVE_OPTION.length())).getFileName());
                if (Files.isRegularFile(archive)) {
                    next.add(ARCHIVE_OPTION + archive.toAbsolutePath());
                }
            } else {
                next.add(word);
            }
        }
        next.set(next.indexOf(JAR_OPTION) + 1, jar.toAbsolutePath().toString());
        return new DeployFile(root, List.copyOf(next));
    }
}
