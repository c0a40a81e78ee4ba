package org.heatherhaven.core.recorded;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Timing;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;

/** Guards the words of decisions and refusals that operators, collectors of logs and callers see. */
class RecordedDecisionsTest {

    private static final List<Path> SOURCES = Stream.of("core", "node", "platform")
            .map(module -> Path.of("..", module, "src", "main", "java"))
            .toList();

    /** Calls that make a decision: subject, rule, measure, result. To be changed if the method is renamed. */
    private static final Pattern DECISION = Pattern.compile("\\.recordDecision\\(");

    /** Calls that make a refusal or name its reason; its detail follows. */
    private static final Pattern REFUSAL =
            Pattern.compile("Refusal\\.(notRun|unknown)\\(|new Refusal\\(|\\bReason\\.[A-Z_]+,");

    private static final int RULE = 1;

    /** A text in the source. */
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");

    private static List<String> sources() throws IOException {
        List<String> sources = new ArrayList<>();
        for (Path root : SOURCES) {
            try (Stream<Path> files = Files.walk(root)) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    sources.add(Files.readString(file));
                }
            }
        }
        return sources;
    }

    /** Splits the arguments that begin at a place in a source. */
    private static List<String> arguments(String source, int from) {
        List<String> arguments = new ArrayList<>();
        StringBuilder argument = new StringBuilder();
        int depth = 0;
        for (int at = from; ; at++) {
            char c = source.charAt(at);
            if (c == '"') {
                Matcher literal = LITERAL.matcher(source).region(at, source.length());
                if (!literal.lookingAt()) {
                    throw new AssertionError("no end of a text at " + at);
                }
                argument.append(literal.group());
                at = literal.end() - 1;
            } else if (c == ')' && depth == 0) {
                arguments.add(argument.toString());
                return arguments;
            } else if (c == ',' && depth == 0) {
                arguments.add(argument.toString());
                argument.setLength(0);
            } else {
                depth += c == '(' ? 1 : c == ')' ? -1 : 0;
                argument.append(c);
            }
        }
    }

    /** The texts in an expression; an asterisk stands for what is worked out between them. */
    private static String words(String expression) {
        StringBuilder words = new StringBuilder();
        Matcher literal = LITERAL.matcher(expression);
        int end = 0;
        while (literal.find()) {
            between(words, expression.substring(end, literal.start()));
            words.append(literal.group(1));
            end = literal.end();
        }
        between(words, expression.substring(end));
        return words.toString();
    }

    private static void between(StringBuilder words, String code) {
        if (!code.replaceAll("[\\s+]", "").isEmpty()) {
            words.append('*');
        }
    }

    private static List<List<String>> calls(Pattern pattern) throws IOException {
        List<List<String>> calls = new ArrayList<>();
        for (String source : sources()) {
            Matcher call = pattern.matcher(source);
            while (call.find()) {
                calls.add(arguments(source, call.end()).stream()
                        .map(RecordedDecisionsTest::words)
                        .toList());
            }
        }
        return calls;
    }

    @Example
    void rulesAreNamedAsRecorded() throws IOException {
        TreeSet<String> rules = new TreeSet<>();
        calls(DECISION).forEach(call -> rules.add(call.get(RULE)));
        RecordedText.require("rules.txt", List.copyOf(rules));
    }

    @Example
    void decisionsAreWordedAsRecorded() throws IOException {
        TreeSet<String> decisions = new TreeSet<>();
        calls(DECISION).forEach(call -> decisions.add(String.join(" | ", call)));
        RecordedText.require("decisions.txt", List.copyOf(decisions));
    }

    @Example
    void refusalsAreWordedAsRecorded() throws IOException {
        TreeSet<String> details = new TreeSet<>();
        for (List<String> call : calls(REFUSAL)) {
            call.stream().filter(argument -> !argument.equals("*")).forEach(details::add);
        }
        RecordedText.require("refusal-details.txt", List.copyOf(details));
    }

    @Example
    void labelsAreAsRecorded() {
        TreeSet<String> labels = new TreeSet<>();
        for (Reason reason : Reason.values()) {
            labels.add("reason " + reason.label() + ", status " + reason.status() + ", retryable " + reason.retryable()
                    + ", from target " + reason.fromTarget());
        }
        for (Outcome outcome : Outcome.values()) {
            labels.add("outcome " + outcome.label());
        }
        for (Timing timing : Timing.values()) {
            labels.add("timing " + timing.label());
        }
        RecordedText.require("labels.txt", List.copyOf(labels));
    }
}
