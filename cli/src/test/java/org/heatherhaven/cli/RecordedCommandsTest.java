package org.heatherhaven.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import net.jqwik.api.Example;

/** Guards the names of commands and flags and the exit codes, which scripts and unit files depend on. */
class RecordedCommandsTest {

    private static String describe(ParameterDescription flag) {
        return "  " + flag.getNames() + (flag.getParameter().required() ? " required" : "") + ", default ["
                + (flag.getDefault() == null ? "-" : flag.getDefault()) + "]: " + flag.getDescription();
    }

    @Example
    void commandsAndFlagsAreAsRecorded() {
        List<String> seen = new ArrayList<>();
        for (Map.Entry<String, Command> command : Main.commands().entrySet()) {
            JCommander parser = JCommander.newBuilder()
                    .addObject(command.getValue())
                    .addObject(new HelpOption())
                    .build();
            // Flags are only known once something was parsed.
            parser.parseWithoutValidation();
            seen.add(command.getKey());
            parser.getParameters().stream()
                    .sorted(Comparator.comparing(ParameterDescription::getNames))
                    .forEach(flag -> seen.add(describe(flag)));
            ParameterDescription words = parser.getMainParameterValue();
            if (words != null) {
                seen.add("  words" + (words.getParameter().required() ? " required" : "") + ": "
                        + words.getDescription());
            }
        }
        RecordedText.require("flags.txt", seen);
    }

    @Example
    void exitCodesAreAsRecorded() {
        List<String> seen = new ArrayList<>();
        for (ExitCode code : ExitCode.values()) {
            seen.add(meaning(code) + ": " + code.code());
        }
        RecordedText.require("exit-codes.txt", seen);
    }

    private static String meaning(ExitCode code) {
        return switch (code) {
            case OK -> "done";
            case REFUSED -> "refused, nothing has changed";
            case USAGE -> "the command line or a file can't be used";
            case UNKNOWN -> "what happened is not known";
            case UNREACHABLE -> "the node could not be reached";
            case FAILED -> "a fault of the program";
        };
    }

    /** Runs a command line that ends before it connects anywhere, and writes down what it says. */
    private static String runCommandLine(String... words) throws InterruptedException {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        ByteArrayOutputStream complained = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(complained, true, StandardCharsets.UTF_8));
            ExitCode code = Main.run(words);
            return "== " + List.of(words) + " ends with " + code.code() + "\n" + "out: "
                    + said.toString(StandardCharsets.UTF_8) + "\nerr: " + complained.toString(StandardCharsets.UTF_8);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Example
    void wrongCommandLinesAreAnsweredAsRecorded() throws InterruptedException {
        List<String> seen = new ArrayList<>();
        seen.add(runCommandLine());
        seen.add(runCommandLine("--help"));
        seen.add(runCommandLine("no-such-command"));
        seen.add(runCommandLine("policy", "no-such-command"));
        seen.add(runCommandLine("status", "--no-such-flag"));
        seen.add(runCommandLine("key", "issue"));
        seen.add(runCommandLine("key", "withdraw"));
        seen.add(runCommandLine("policy", "patch"));
        seen.add(runCommandLine("policy", "patch", "no-such-file.toml"));
        seen.add(runCommandLine("explain"));
        seen.add(runCommandLine("node", "--log", "xml"));
        seen.add(runCommandLine("node", "--settings", "no-such-file.toml"));
        seen.add(runCommandLine("node", "--settings", "no-such-file.toml", "--adapter", "none"));
        seen.add(runCommandLine("standin", "target"));
        seen.add(runCommandLine("standin", "platform", "--listen", "nowhere"));
        for (String command : Main.commands().keySet()) {
            List<String> words = new ArrayList<>(List.of(command.split(" ")));
            words.add("--help");
            seen.add(runCommandLine(words.toArray(new String[0])));
        }
        RecordedText.require("command-lines.txt", seen);
    }
}
