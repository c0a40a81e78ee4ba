package org.heatherhaven.node.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;

/** Reads policy patches from TOML. */
public final class PatchReader {

    private static final long MAX_SHARES = 1_024;
    private static final long MAX_TIMEOUT_MS = 60_000;
    private static final long MAX_RETRIES = 100;
    private static final long DEFAULT_TIMEOUT_MS = 2_000;
    private static final long DEFAULT_RETRIES = 3;

    private PatchReader() {}

    /**
     * Reads a patch from a file.
     *
     * @param path the file
     * @param author name of the operator who submits the patch
     * @return the patch
     * @throws SettingsException if the file is not a valid patch
     */
    public static PolicyPatch read(Path path, String author) {
        return read(TomlTable.read(path), author);
    }

    /**
     * Reads a patch from a parsed file. A patch without an id gets a random one.
     *
     * @param root root table of the file
     * @param author name of the operator who submits the patch
     * @return the patch
     * @throws SettingsException if a name is unknown, or a value missing or not valid
     */
    public static PolicyPatch read(TomlTable root, String author) {
        long base = root.integer("base", 0, Long.MAX_VALUE - 1, Optional.empty());
        String id = root.optionalString("id").orElseGet(() -> UUID.randomUUID().toString());
        String note = root.optionalString("note").orElse("");
        List<Team> teams = root.tables("team").stream().map(PatchReader::team).toList();
        List<Route> routes =
                root.tables("route").stream().map(PatchReader::route).toList();
        List<KeyGrant> keys = root.tables("key").stream()
                .map(key -> new KeyGrant(key.requiredString("hash"), key.requiredString("team")))
                .toList();
        TomlTable remove = root.table("remove");
        PolicyPatch patch = new PolicyPatch(
                id,
                base,
                author,
                note,
                teams,
                routes,
                keys,
                remove.strings("teams"),
                remove.strings("routes"),
                remove.strings("keys"));
        root.rejectUnknownKeys();
        return patch;
    }

    private static Team team(TomlTable table) {
        return new Team(table.requiredString("name"), table.decimal("rate"), table.decimal("burst"), (int)
                table.integer("shares", 1, MAX_SHARES, Optional.of(1L)));
    }

    private static Route route(TomlTable table) {
        return new Route(
                table.requiredString("name"),
                table.requiredString("path"),
                table.requiredString("service"),
                table.enumConstant("importance", Importance.class, Optional.of(Importance.NORMAL)),
                table.flag("unrepeatable", false),
                table.flag("open", false),
                new Route.Limits(
                        Duration.ofMillis(
                                table.integer("timeout_ms", 1, MAX_TIMEOUT_MS, Optional.of(DEFAULT_TIMEOUT_MS))),
                        (int) table.integer("retries", 0, MAX_RETRIES, Optional.of(DEFAULT_RETRIES))));
    }
}
