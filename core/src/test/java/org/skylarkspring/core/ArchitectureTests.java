package org.skylarkspring.core;

import java.util.Random;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the decision core does not use sockets, files, threads, clocks or
 * unseeded random numbers.
 */
class ArchitectureTests {

	private final JavaClasses classes = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("org.skylarkspring.core");

	@Nested
	class CoreModule {

		@Test
		void coreUsesNoSocketsFilesOrThreads() {
			ArchRuleDefinition.noClasses()
				.should()
				.dependOnClassesThat()
				.resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "java.util.concurrent..",
						"java.time..", "io.undertow..", "org.xnio..")
				.check(ArchitectureTests.this.classes);
		}

		@Test
		void coreReadsNoClockAndNoUnseededRandomness() {
			ArchRuleDefinition.noClasses()
				.should()
				.callMethod(System.class, "currentTimeMillis")
				.orShould()
				.callMethod(System.class, "nanoTime")
				.orShould()
				.callMethod(Math.class, "random")
				.orShould()
				.callConstructor(Random.class)
				.orShould()
				.dependOnClassesThat()
				.areAssignableTo(Thread.class)
				.check(ArchitectureTests.this.classes);
		}

	}

}
