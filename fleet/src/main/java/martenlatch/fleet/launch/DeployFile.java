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
 * How a deployment starts a sidecar, as {@code deploy/balancer.toml} says.
 *
 * @param root the folder that the command's paths start from
 * @param command the program and what it is told, the shell's part left out
 */
public record DeployFile(Path root, List<String> command) {

    private static final String EXEC = "exec ";
    private static final String JAR = "-jar";
    private static final String ARCHIVE = "-XX:SharedArchiveFile=";

    /** Reads the file of a checkout; what can't be used is an exception that names field and value. */
    public static DeployFile read(Path root) throws IOException {
        JsonNode run = TomlFile.read(root.resolve("deploy/balancer.toml")).path("run");
        String line = run.asText("");
        if (!line.startsWith(EXEC) || line.chars().anyMatch(c -> "\"'$`|&;<>(){}\\".indexOf(c) >= 0)) {
            throw new IllegalArgumentException("run must be exec and a plain command but is " + run);
        }
        List<String> words = Arrays.asList(line.substring(EXEC.length()).trim().split("\\s+"));
        int at = words.indexOf(JAR);
        if (at < 0 || at + 1 >= words.size()) {
            throw new IllegalArgumentException("run must name a jar by -jar but is " + run);
        }
        return new DeployFile(root, List.copyOf(words));
    }

    /** The jar that it names, in full. */
    public Path jar() {
        return root.resolve(command.get(command.indexOf(JAR) + 1));
    }

    /** The same command with one word more at its end. */
    public DeployFile and(String word) {
        List<String> next = new ArrayList<>(command);
        next.add(word);
        return new DeployFile(root, List.copyOf(next));
    }

    /**
     * The same command with another build's jar; a class archive fits one build only, and is left out
     * unless it stands beside that jar. A jar that is not there is an exception that names it.
     */
    public DeployFile with(Path jar) {
        if (!Files.isRegularFile(jar)) {
            throw new IllegalArgumentException("the jar is not built: " + jar);
        }
        List<String> next = new ArrayList<>();
        for (String word : command) {
            if (word.startsWith(ARCHIVE)) {
                Path archive = jar.resolveSibling(
                        Path.of(word.substring(ARCHIVE.length())).getFileName());
                if (Files.isRegularFile(archive)) {
                    next.add(ARCHIVE + archive.toAbsolutePath());
                }
            } else {
                next.add(word);
            }
        }
        next.set(next.indexOf(JAR) + 1, jar.toAbsolutePath().toString());
        return new DeployFile(root, List.copyOf(next));
    }
}
