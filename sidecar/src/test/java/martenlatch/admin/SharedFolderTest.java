package martenlatch.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the folder through which two processes of one sidecar share state. */
class SharedFolderTest {

    @TempDir
    Path parent;

    @Test
    void changesOfOneProcessAreVisibleToTheOther() throws Exception {
        SharedFolder first = new SharedFolder(parent, "n0");
        SharedFolder second = new SharedFolder(parent, "n0");
        Set<String> unusualIds = Set.of("s-1", "a/b", "../up", ".", "č%20 x", "S-1", "*");
        for (String id : unusualIds) {
            first.set(id, true);
            second.set(id, true);
        }
        assertEquals(unusualIds, second.disabledIds());
        assertEquals(Set.of(), new SharedFolder(parent, "n1").disabledIds(), "another sidecar has its own folder");
        for (String id : unusualIds) {
            second.set(id, false);
            first.set(id, false);
        }
        assertEquals(Set.of(), first.disabledIds());
    }

    @Test
    void servingProcessIsVisibleUntilItStops() throws Exception {
        SharedFolder process = new SharedFolder(parent, "n0");
        SharedFolder successor = new SharedFolder(parent, "n0");
        process.markServing();
        assertFalse(process.isAnotherProcessServing(), "a process does not count itself");
        assertTrue(successor.isAnotherProcessServing());
        successor.markServing();
        assertTrue(process.isAnotherProcessServing());
        process.unmarkServing();
        assertFalse(successor.isAnotherProcessServing());
        successor.unmarkServing();
        try (var files = Files.list(parent.resolve("martenlatch-n0"))) {
            assertEquals(0, files.count(), "no file is left behind");
        }
    }

    /** Guards against counting a dead process as serving: its file still exists, but is not locked. */
    @Test
    void deadProcessDoesNotCountAsServing() throws Exception {
        SharedFolder process = new SharedFolder(parent, "n0");
        Path staleFile = Files.createFile(parent.resolve("martenlatch-n0").resolve("serving-1-1"));
        assertFalse(process.isAnotherProcessServing());
        assertFalse(Files.exists(staleFile), "the file of the dead process is deleted");
    }

    @Test
    void unusableFolderFails() throws Exception {
        Path file = Files.createFile(parent.resolve("file"));
        assertThrows(IOException.class, () -> new SharedFolder(file, "n0"));
        SharedFolder folder = new SharedFolder(parent, "n0");
        Files.delete(parent.resolve("martenlatch-n0"));
        assertThrows(IOException.class, () -> folder.set("a", true));
        assertThrows(IOException.class, folder::disabledIds);
        assertThrows(IOException.class, () -> new SharedFolder(parent, "n2").set("x".repeat(300), true));
    }
}
