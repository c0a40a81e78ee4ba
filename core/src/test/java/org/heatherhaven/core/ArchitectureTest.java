package org.heatherhaven.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

/** Checks the dependencies of the core: no clocks, no input or output, and no cycles between its packages. */
class ArchitectureTest {

    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.heatherhaven.core");

    @Example
    void theCoreReadsNoClockAndDoesNoInputOrOutput() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..", "java.nio.file..", "java.net..", "java.nio.channels..", "java.util.concurrent..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .check(CORE);
    }

    @Example
    void theModelDoesNotDependOnMessagesEventsEffectsOrLogic() {
        noClasses()
                .that()
                .resideInAPackage("..core.model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("..core.message..", "..core.event..", "..core.effect..", "..core.logic..")
                .check(CORE);
    }

    @Example
    void noOtherPackageDependsOnTheReducer() {
        classes()
                .that()
                .resideInAPackage("..logic.node..")
                .should()
                .onlyHaveDependentClassesThat()
                .resideInAPackage("..logic.node..")
                .check(CORE);
    }

    @Example
    void thePackagesOfTheLogicHaveNoDependencyCycles() {
        slices().matching("..core.logic.(*)..").should().beFreeOfCycles().check(CORE);
    }
}
