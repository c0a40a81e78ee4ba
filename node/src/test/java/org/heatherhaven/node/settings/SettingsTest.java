package org.heatherhaven.node.settings;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.heatherhaven.node.settings.SettingsException.Code;

/** Settings and patches are checked whole, and every error names file, line and what was expected. */
class SettingsTest {

    private static final String GOOD = """
            [place]
            region = "r"
            zone = "a"
            [listen]
            callers = "127.0.0.1:1"
            target_calls = "127.0.0.1:2"
            peers = "127.0.0.1:3"
            operators = "127.0.0.1:4"
            [target]
            service = "pricing"
            address = "127.0.0.1:5"
            slots = 15
            connections = 200
            [platform]
            url = "http://127.0.0.1:6"
            [fleet]
            secrets = ["sixteen-characters"]
            """;

    private static SettingsException refusalOf(String text) {
        try {
            NodeSettingsReader.read(TomlTable.parse("node.toml", text));
        } catch (SettingsException e) {
            return e;
        }
        throw new AssertionError("accepted");
    }

    private static void expect(boolean holds, Object seen) {
        if (!holds) {
            throw new AssertionError(seen);
        }
    }

    @Example
    void goodSettingsAreRead() {
        expect(
                NodeSettingsReader.read(TomlTable.parse("node.toml", GOOD))
                                .target()
                                .slots()
                        == 15,
                "slots");
    }

    @Example
    void anUnknownNameIsRefusedWithItsLine() {
        SettingsException e = refusalOf(GOOD + "[limits]\nbody_byte = 5\n");
        expect(e.code() == Code.UNKNOWN_KEY, e.code());
        expect(e.getMessage().startsWith("node.toml:19: limits.body_byte is not a setting"), e.getMessage());
    }

    @Example
    void aWrongValueIsRefusedWithWhatWasExpected() {
        SettingsException e = refusalOf(GOOD.replace("slots = 15", "slots = 0"));
        expect(
                e.getMessage()
                        .equals("node.toml:12: target.slots can't be used; expected a whole number from 1 to 1000000"),
                e.getMessage());
    }

    @Example
    void aMissingSettingIsNamed() {
        SettingsException e = refusalOf(GOOD.replace("service = \"pricing\"\n", ""));
        expect(e.code() == Code.MISSING && e.getMessage().contains("target.service is missing"), e.getMessage());
    }

    @Example
    void theTargetsDoorMustBeOnLoopback() {
        SettingsException e = refusalOf(GOOD.replace("127.0.0.1:2", "10.0.0.1:2"));
        expect(e.getMessage().contains("listen.target_calls"), e.getMessage());
    }

    @Property(tries = 1_000, seed = "20261204")
    void anyTextIsReadOrRefusedAndNothingElse(@ForAll @StringLength(max = 200) String text) {
        try {
            PatchReader.read(TomlTable.parse("patch.toml", text), "fuzz");
        } catch (SettingsException e) {
            expect(e.getMessage().startsWith("patch.toml:"), e.getMessage());
        }
    }
}
