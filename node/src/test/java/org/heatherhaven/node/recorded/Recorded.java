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

/** Lines recorded in test resources, and their comparison with what the code gives. */
public final class Recorded {

    /** Where the lines that the code gives are left when they differ, for a look at a wanted change. */
    private static final Path OUTPUT_DIRECTORY = Path.of("target", "recorded");

    private Recorded() {}

    /** All lines of a resource; those that begin with a hash sign are comments. */
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

    /** Requires that the code gives exactly the recorded lines, in their order. */
    public static void requireSame(String name, List<String> found) {
        List<String> recorded = lines(name);
        if (recorded.equals(found)) {
            return;
        }
        keep(name, found);
        Set<String> missing = new LinkedHashSet<>(recorded);
        found.forEach(missing::remove);
        Set<String> added = new LinkedHashSet<>(found);
        recorded.forEach(added::remove);
        List<String> report = new ArrayList<>(List.of(name + " differs; the order too counts"));
        missing.forEach(line -> report.add("recorded " + line));
        added.forEach(line -> report.add("found    " + line));
        throw new AssertionError(String.join("\n", report));
    }

    private static void keep(String name, List<String> found) {
        try {
            Files.createDirectories(OUTPUT_DIRECTORY);
            Files.write(OUTPUT_DIRECTORY.resolve(name), found);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
