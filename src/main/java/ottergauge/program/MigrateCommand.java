// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.Callable;
import ottergauge.migration.Migration;
import ottergauge.migration.MigrationException;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;
import ottergauge.settings.JsonTree;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Translates a node's configuration for a deployment of a different shape. */
@Command(
        name = "migrate",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Translate a node's configuration for a deployment of a different shape.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            " 0:written completely",
            " 3:written, with entries left over",
            " 2:wrong usage or bad input, nothing written"
        })
final class MigrateCommand implements Callable<Integer> {

    private static final int EXIT_LEFTOVERS = 3;
    private static final int EXIT_INVALID = 2;

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "OLD", description = "The node's configuration as it is.")
    private Path oldFile;

    @Option(
            names = "--to",
            paramLabel = "SHAPE",
            required = true,
            description = "The settings of the new deployment that differ, as JSON.")
    private Path shapeFile;

    @Option(
            names = "--out",
            paramLabel = "NEW",
            required = true,
            description = "The file to write.")
    private Path newFile;

    @Option(names = "--dry-run", description = "Print what would be left over and write nothing.")
    private boolean dryRun;

    @Option(names = "--force", description = "Replace NEW if it exists.")
    private boolean force;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        Migration.Result result;
        byte[] written;
        try {
            result = Migration.translate(read(oldFile), read(shapeFile));
            written = JsonTree.write(result.config());
            NodeConfig.read(written);
            if (!force && Files.exists(newFile)) {
                throw new FileAlreadyExistsException(newFile + " exists; --force replaces it");
            }
            if (!dryRun) {
                write(written);
            }
        } catch (IOException | MigrationException | ProtocolException e) {
            spec.commandLine()
                    .getErr()
                    .println("cannot migrate " + oldFile + ": " + e.getMessage());
            return EXIT_INVALID;
        }
        for (Migration.Leftover each : result.leftovers()) {
            out.printf("left over: %s = %s: %s%n", each.key(), each.old(), each.reason());
        }
        out.printf(
                "%s %s, %d left over%n",
                dryRun ? "would write" : "wrote", newFile, result.leftovers().size());
        return result.leftovers().isEmpty() ? 0 : EXIT_LEFTOVERS;
    }

    private static Map<String, Object> read(Path file) throws IOException {
        try {
            return JsonTree.read(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new IOException("cannot read " + file + ": " + e.getMessage(), e);
        }
    }

    // The file is replaced atomically: a node that starts meanwhile must read the old file or the
    // new one, never half of it.
    private void write(byte[] content) throws IOException {
        Path directory = newFile.toAbsolutePath().getParent();
        Path temporaryFile = Files.createTempFile(directory, ".migrate", ".json");
        try {
            Files.write(temporaryFile, content);
            Files.move(
                    temporaryFile,
                    newFile,
                    StandardCopyOption.REPLACE_EXISTING,
                    StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(temporaryFile);
        }
    }
}
