package org.crocuspost.soak;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A short run with a fixed seed, and the seeds that have ever failed.
 */
class FaultSoakTests {

	private static final Duration LENGTH = Duration.ofSeconds(15);

	private static final int HOSTS = 2;

	@TempDir
	private Path folder;

	// Seed 1: a replaced agent reported before its worker was known, and all runs of the
	// host were taken for gone. Seed 3: a restarted worker's ends were acknowledged by
	// the numbers of its former life. Seeds 110, 111, 114, 134 and 138 (3 hosts, 20 s):
	// a start that crossed a restart was started again beside itself. Seed 407 (3 hosts,
	// 20 s): the soak itself took a cancellation without an answer for none.
	@ParameterizedTest
	@ValueSource(longs = { 1, 3, 111 })
	void thePromisesAreKeptUnderFaults(long seed) throws Exception {
		SoakReport report = new Soak(seed, LENGTH, HOSTS, this.folder, Soak.freeNetwork()).run();
		assertThat(report.broken()).as(report.timeline()).isEmpty();
		assertThat(report.accepted()).isPositive();
		assertThat(report.runs()).isPositive();
	}

}
