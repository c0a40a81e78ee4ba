package org.heatherhaven.cli.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.heatherhaven.node.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reloads the settings when the modification time of their file changes, or on request. */
final class SettingsWatch {

    private static final Logger LOGGER = LoggerFactory.getLogger(SettingsWatch.class);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

    private final Path file;
    private final Runnable reloadAction;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "settings");
        thread.setDaemon(true);
        return thread;
    });
    private Optional<FileTime> lastModified;

    SettingsWatch(Path file, Runnable reloadAction) {
        this.file = file;
        this.reloadAction = reloadAction;
        this.lastModified = modificationTime();
    }

    void start() {
        timer.scheduleWithFixedDelay(
                this::reloadIfModified, CHECK_INTERVAL.toMillis(), CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Reloads the settings even if the file is unchanged; called on SIGHUP. */
    void reloadNow() {
        timer.execute(this::runReload);
    }

    private void reloadIfModified() {
        Optional<FileTime> now = modificationTime();
        if (!now.equals(lastModified)) {
            lastModified = now;
            runReload();
        }
    }

    private void runReload() {
        try {
            reloadAction.run();
            LOGGER.info("Settings reloaded");
        } catch (SettingsException e) {
            LOGGER.warn("Settings are invalid, keeping the previous ones: {}", e.getMessage());
        }
    }

    private Optional<FileTime> modificationTime() {
        try {
            return Optional.of(Files.getLastModifiedTime(file));
        } catch (IOException e) {
            LOGGER.warn("Can't read the modification time of the settings: {}", e.toString());
            return Optional.empty();
        }
    }
}
