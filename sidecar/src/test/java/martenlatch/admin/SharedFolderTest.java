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

/** What two processes of one sidecar share on disk. */
class SharedFolderTest {

    @TempDir
    Path parent;

    @Test
    void whatOneWritesTheOtherSees() throws Exception {
        SharedFolder one = new SharedFolder(parent, "n0");
        SharedFolder other = new SharedFolder(parent, "n0");
        Set<String> odd = Set.of("s-1", "a/b", "../up", ".", "č%20 x", "S-1", "*");
        for (String id : odd) {
            one.set(id, true);
            other.set(id, true);
        }
        assertEquals(odd, other.disabledIds());
        assertEquals(Set.of(), new SharedFolder(parent, "n1").disabledIds(), "another sidecar's is another");
        for (String id : odd) {
            other.set(id, false);
            one.set(id, false);
        }
        assertEquals(Set.of(), one.disabledIds());
    }

    @Test
    void aProcessThatServesIsSeenUntilItLeaves() throws Exception {
        SharedFolder old = new SharedFolder(parent, "n0");
        SharedFolder heir = new SharedFolder(parent, "n0");
        old.markServing();
        assertFalse(old.isAnotherProcessServing(), "it is no other to itself");
        assertTrue(heir.isAnotherProcessServing());
        heir.markServing();
        assertTrue(old.isAnotherProcessServing());
        old.unmarkServing();
        assertFalse(heir.isAnotherProcessServing());
        heir.unmarkServing();
        try (var files = Files.list(parent.resolve("martenlatch-n0"))) {
            assertEquals(0, files.count(), "nothing is left behind");
        }
    }

    /** Guards against an heir that died: its file stands, but no lock is on it. */
    @Test
    void aDeadProcessIsNoHeir() throws Exception {
        SharedFolder old = new SharedFolder(parent, "n0");
        Path left = Files.createFile(parent.resolve("martenlatch-n0").resolve("serving-1-1"));
        assertFalse(old.isAnotherProcessServing());
        assertFalse(Files.exists(left), "what the dead left is removed");
    }

    @Test
    void aFolderThatCannotBeIsAnError() throws Exception {
        Path file = Files.createFile(parent.resolve("file"));
        assertThrows(IOException.class, () -> new SharedFolder(file, "n0"));
        SharedFolder folder = new SharedFolder(parent, "n0");
        Files.delete(parent.resolve("martenlatch-n0"));
        assertThrows(IOException.class, () -> folder.set("a", true));
        assertThrows(IOException.class, folder::disabledIds);
        assertThrows(IOException.class, () -> new SharedFolder(parent, "n2").set("x".repeat(300), true));
    }
}
