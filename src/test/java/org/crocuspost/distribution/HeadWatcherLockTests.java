package org.crocuspost.distribution;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.release.SnapshotStore;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HeadWatcherLockTests {

	private static final Duration TEST_TIMEOUT = Duration.ofSeconds(10);

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final HeadWatcher watcher = new HeadWatcher(new TableStandIn(), new SnapshotStore(new ObjectStandIn()),
			this.time, this.time, Runnable::run, new SplittableRandom(1));

	@Test
	void versionCanBeReportedWhileListenersRun() {
		AtomicBoolean reported = new AtomicBoolean();
		this.watcher.addListener((configuration) -> {
			CompletableFuture<Void> report = CompletableFuture.runAsync(() -> this.watcher.observeVersion(2));
			assertThat(report).succeedsWithin(TEST_TIMEOUT);
			reported.set(true);
		});
		this.watcher
			.configurationChanged(new Configuration(1, "first", Map.of(), Map.of(), Set.of(), Set.of(), Map.of()));
		assertThat(reported).isTrue();
		assertThat(this.watcher.behind()).isTrue();
	}

}
