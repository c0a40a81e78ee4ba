package org.heatherhaven.node.settings;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.heatherhaven.node.settings.SettingsException.Code;

/** Guards the validation of settings and patches: each error names the file, the line and the expected value. */
class SettingsTest {

    private static final String VALID = """
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

    private static SettingsException errorOf(String text) {
        try {
            NodeSettingsReader.read(TomlTable.parse("node.toml", text));
        } catch (SettingsException e) {
            return e;
        }
        throw new AssertionError("accepted");
    }

    private static void require(boolean holds, Object seen) {
        if (!holds) {
            throw new AssertionError(seen);
        }
    }

    @Example
    void validSettingsAreRead() {
        require(
                NodeSettingsReader.read(TomlTable.parse("node.toml", VALID))
                                .target()
                                .slots()
                        == 15,
                "slots");
    }

    @Example
    void anUnknownKeyIsRejectedWithItsLine() {
        SettingsException e = errorOf(VALID + "[limits]\nbody_byte = 5\n");
        require(e.code() == Code.UNKNOWN_KEY, e.code());
        require(e.getMessage().startsWith("node.toml:19: limits.body_byte is not a setting"), e.getMessage());
    }

    @Example
    void anInvalidValueIsRejectedWithTheExpectedRange() {
        SettingsException e = errorOf(VALID.replace("slots = 15", "slots = 0"));
        require(
                e.getMessage()
                        .equals("node.toml:12: target.slots can't be used; expected a whole number from 1 to 1000000"),
                e.getMessage());
    }

    @Example
    void aMissingSettingIsNamed() {
        SettingsException e = errorOf(VALID.replace("service = \"pricing\"\n", ""));
        require(e.code() == Code.MISSING && e.getMessage().contains("target.service is missing"), e.getMessage());
    }

    @Example
    void theListenerForTheTargetMustBeOnLoopback() {
        SettingsException e = errorOf(VALID.replace("127.0.0.1:2", "10.0.0.1:2"));
        require(e.getMessage().contains("listen.target_calls"), e.getMessage());
    }

    @Property(tries = 1_000, seed = "20261204")
    void anyTextIsEitherReadOrRejectedWithASettingsException(@ForAll @StringLength(max = 200) String text) {
        try {
            PatchReader.read(TomlTable.parse("patch.toml", text), "fuzz");
        } catch (SettingsException e) {
            require(e.getMessage().startsWith("patch.toml:"), e.getMessage());
        }
    }
}
