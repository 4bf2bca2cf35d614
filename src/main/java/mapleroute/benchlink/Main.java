package mapleroute.benchlink;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** The command line: {@code java -jar mapleroute.jar benchlink}. */
public final class Main {

    private Main() {
    }

    /** Runs the adapter on standard input and output until the input ends. */
    public static void main(String[] args) throws IOException {
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            int status = run(args, in, out, System.err);
            if (status != 0) {
                System.exit(status);
            }
        }
    }

    /** What {@link #main} does, on streams of the caller's; returns the exit status. */
    static int run(String[] args, InputStream in, OutputStream out, PrintStream errors) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            errors.println("usage: java -jar mapleroute.jar benchlink");
            return 2;
        }
        try {
            new BenchLink(in, out, errors).run();
            return 0;
        } catch (WireException e) {
            errors.println("mapleroute: " + e.getMessage());
            return 1;
        }
    }
}
