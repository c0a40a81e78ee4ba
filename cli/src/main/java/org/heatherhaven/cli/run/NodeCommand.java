package org.heatherhaven.cli.run;

import java.nio.file.Path;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.concurrent.atomic.AtomicBoolean;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.node.Integration;
import org.heatherhaven.node.NodeAdapter;
import org.heatherhaven.node.NodeDaemon;
import org.heatherhaven.node.settings.NodeSettings;
import org.heatherhaven.node.settings.NodeSettingsReader;
import org.heatherhaven.node.settings.TomlTable;
import sun.misc.Signal;

/**
 * Runs a node until it has left the fleet.
 *
 * <p>SIGTERM starts a graceful drain, a second one halts the process, and SIGHUP reloads the settings.
 */
@Parameters(commandDescription = "Run the node beside a target; SIGTERM stops it gracefully, a second one at once")
public final class NodeCommand implements Command {

    private static final int TERMINATED = 143;

    private static final String SETTINGS_VARIABLE = "HEATHERHAVEN_SETTINGS";

    @Parameter(
            names = "--settings",
            converter = PathConverter.class,
            description = "File of settings, TOML; without it the file that " + SETTINGS_VARIABLE + " names")
    private Path settingsFile;

    @Parameter(names = "--adapter", description = "Systems that the node runs among, if not the product's own")
    private String adapterName = "";

    @Parameter(names = "--log", description = "Form of the log: text or json")
    private String logFormat = "text";

    @Override
    public ExitCode run() throws InterruptedException {
        Logging.configure(logFormat);
        TomlTable file = TomlTable.read(settingsPath());
        Optional<Integration.Factory> integration = findAdapter().map(adapter -> adapter.readFactory(file));
        NodeSettings settings = readSettings(file);
        NodeDaemon node =
                integration.map(factory -> new NodeDaemon(settings, factory)).orElseGet(() -> new NodeDaemon(settings));
        AtomicBoolean stopping = new AtomicBoolean();
        Signal.handle(new Signal("TERM"), signal -> {
            if (stopping.compareAndSet(false, true)) {
                node.drain();
            } else {
                Runtime.getRuntime().halt(TERMINATED);
            }
        });
        SettingsWatch watch = new SettingsWatch(settingsPath(), () -> reload(node));
        Signal.handle(new Signal("HUP"), signal -> watch.reloadNow());
        node.start();
        watch.start();
        node.awaitTermination();
        node.stop();
        return ExitCode.OK;
    }

    private void reload(NodeDaemon node) {
        TomlTable file = TomlTable.read(settingsPath());
        findAdapter().ifPresent(adapter -> adapter.readFactory(file));
        node.reload(readSettings(file));
    }

    private NodeSettings readSettings(TomlTable file) {
        NodeSettings nodeSettings = NodeSettingsReader.read(file);
        return findAdapter().map(adapter -> adapter.adapt(file, nodeSettings)).orElse(nodeSettings);
    }

    private Path settingsPath() {
        return Optional.ofNullable(settingsFile)
                .or(() -> Optional.ofNullable(System.getenv(SETTINGS_VARIABLE)).map(Path::of))
                .orElseThrow(() -> new ParameterException("--settings is missing"));
    }

    private Optional<NodeAdapter> findAdapter() {
        if (adapterName.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(ServiceLoader.load(NodeAdapter.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(adapter -> adapter.name().equals(adapterName))
                .findFirst()
                .orElseThrow(() -> new ParameterException("no adapter is named " + adapterName)));
    }
}
