package org.heatherhaven.node.recorded;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Reads lines recorded in test resources, and compares them with the output of the code. */
public final class Recorded {

    /** Directory for output that differs from the recorded lines, to inspect an intended change. */
    private static final Path OUTPUT_DIRECTORY = Path.of("target", "recorded");

    private Recorded() {}

    /** Returns the lines of a resource without blank lines and comments, which begin with a hash sign. */
    public static List<String> lines(String name) {
        try (InputStream in = Recorded.class.getResourceAsStream("/recorded/" + name)) {
            if (in == null) {
                return List.of();
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.isBlank() && !line.startsWith("#"))
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Requires that the output of the code equals the recorded lines, in the same order. */
    public static void requireSame(String name, List<String> found) {
        List<String> recorded = lines(name);
        if (recorded.equals(found)) {
            return;
        }
        writeOutput(name, found);
        Set<String> missing = new LinkedHashSet<>(recorded);
        found.forEach(missing::remove);
        Set<String> added = new LinkedHashSet<>(found);
        recorded.forEach(added::remove);
        List<String> report = new ArrayList<>(List.of(name + " differs; the order of lines matters, too"));
        missing.forEach(line -> report.add("recorded " + line));
        added.forEach(line -> report.add("found    " + line));
        throw new AssertionError(String.join("\n", report));
    }

    private static void writeOutput(String name, List<String> found) {
        try {
            Files.createDirectories(OUTPUT_DIRECTORY);
            Files.write(OUTPUT_DIRECTORY.resolve(name), found);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
