package org.crocuspost.cli;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Either;
import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.distribution.HeadWatcher;
import org.crocuspost.distribution.ProcessConfirmation;
import org.crocuspost.error.Failure;
import org.crocuspost.operations.BatchViews;
import org.crocuspost.operations.Explanation;
import org.crocuspost.operations.NoteOperations;
import org.crocuspost.operations.OperationsServer;
import org.crocuspost.operations.OperationsSettings;
import org.crocuspost.operations.OperationsViews;
import org.crocuspost.operations.RequestLog;
import org.crocuspost.operations.View;
import org.crocuspost.release.NoteAcceptance;
import org.crocuspost.release.NoteRules;
import org.crocuspost.release.SnapshotStore;
import org.crocuspost.report.ServiceLevels;
import org.crocuspost.settings.Secret;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.SystemClock;
import org.crocuspost.time.Timer;

/**
 * Serves the operators' HTTP interface of one entry on stand-ins. Its timer never fires,
 * so the configuration watcher does not poll on its own.
 */
final class OperatorDeployment implements AutoCloseable {

	static final String TOKEN = "token-of-operators";

	static final int MAXIMUM_NOTE_BYTES = 100_000;

	private static final Set<String> DOMAINS = Set.of("zone-a", "zone-b");

	private final TableStandIn table = new TableStandIn();

	private final ObjectStandIn objects = new ObjectStandIn();

	private final List<ProcessConfirmation> confirmations = new ArrayList<>();

	private final RequestLog requests = new RequestLog();

	private final HeadWatcher watcher;

	private final NoteAcceptance acceptance;

	private final ServiceLevels levels;

	private final OperationsServer server;

	OperatorDeployment(int requestsPerSecond) {
		SystemClock clock = new SystemClock();
		SnapshotStore snapshots = new SnapshotStore(this.objects);
		NoteRules rules = new NoteRules(DOMAINS);
		this.watcher = new HeadWatcher(this.table, snapshots, clock, new NoTimer(), Runnable::run, new Random(1));
		this.watcher.start();
		this.levels = new ServiceLevels(this.watcher, clock);
		this.acceptance = new NoteAcceptance(this.table, snapshots, rules, clock, this.watcher);
		NoteOperations notes = new NoteOperations(this.acceptance, this.table, snapshots, this.watcher, rules,
				() -> Either.right(List.copyOf(this.confirmations)));
		OperationsSettings settings = new OperationsSettings(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				new Secret(TOKEN), MAXIMUM_NOTE_BYTES, requestsPerSecond);
		this.server = OperationsServer.start(settings, "entry-1", DOMAINS, notes,
				OperationsViews.EMPTY.withBurn(() -> Either.right(this.levels.report()))
					.withRequestExplainer(this.requests)
					.withBatch(new BatchViews(View.empty(), View.empty(), View.empty(), OperatorDeployment::explain)),
				clock);
	}

	private static Either<Failure, Explanation> explain(String task) {
		return Either.right(new Explanation(task, "pending", List.of("no free capacity")));
	}

	RequestLog requests() {
		return this.requests;
	}

	TableStandIn table() {
		return this.table;
	}

	NoteAcceptance acceptance() {
		return this.acceptance;
	}

	ServiceLevels levels() {
		return this.levels;
	}

	void confirm(String entry, long version) {
		this.confirmations.removeIf((confirmation) -> confirmation.name().equals(entry));
		this.confirmations
			.add(new ProcessConfirmation("entry", entry, new ConfirmationSummary(version, version, List.of())));
	}

	String url() {
		return "http://127.0.0.1:" + this.server.address().getPort();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private static final class NoTimer implements Timer {

		@Override
		public Cancellable schedule(Duration delay, Runnable action) {
			return () -> {
			};
		}

		@Override
		public Cancellable repeat(Duration delay, Runnable action) {
			return () -> {
			};
		}

	}

}
