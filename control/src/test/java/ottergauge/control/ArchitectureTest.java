// SPDX-License-Identifier: Apache-2.0
package ottergauge.control;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.conditions.ArchConditions.onlyDependOnClassesThat;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Checks the layers of the packages and the libraries that they use, and that the log package uses
 * no clock, threads or I/O.
 */
class ArchitectureTest {

    private final JavaClasses all =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("ottergauge.control");

    @Test
    void layers_dependInOneDirection() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("ottergauge.control..")
                .layer("log")
                .definedBy("ottergauge.control.log..")
                .optionalLayer("consensus")
                .definedBy("ottergauge.control.consensus..")
                .optionalLayer("server")
                .definedBy("ottergauge.control.server..")
                .optionalLayer("program")
                .definedBy("ottergauge.control.program..")
                .whereLayer("program")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("server")
                .mayOnlyBeAccessedByLayers("program")
                .whereLayer("consensus")
                .mayOnlyBeAccessedByLayers("server", "program")
                .check(all);
    }

    @Test
    void log_hasNoClockThreadsOrIo() {
        classes()
                .that(resideInAnyPackage("ottergauge.control.log.."))
                .should(
                        onlyDependOnClassesThat(
                                resideInAnyPackage(
                                        "java.lang..",
                                        "java.util..",
                                        "java.io..",
                                        "java.nio.charset..",
                                        "ottergauge.resources..",
                                        "ottergauge.protocol..",
                                        "ottergauge.control.log..")))
                .check(all);
        noClasses()
                .that(resideInAnyPackage("ottergauge.control.log.."))
                .should()
                .accessClassesThat()
                .belongToAnyOf(
                        System.class,
                        Thread.class,
                        java.util.Random.class,
                        java.util.UUID.class,
                        java.io.File.class,
                        java.io.FileInputStream.class,
                        java.io.FileOutputStream.class,
                        java.util.Timer.class)
                .check(all);
    }

    @Test
    void control_dependsOnNoNodeLogic() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "ottergauge.routing..",
                        "ottergauge.transport..",
                        "ottergauge.replica..",
                        "ottergauge.program..")
                .check(all);
    }
}
