package org.crocuspost.host;

import java.time.Duration;
import java.util.function.Supplier;

import org.crocuspost.hostlink.LeaderPort;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.HostReport;

/**
 * Sends reports to the leader at the pace that {@link ReportPacer} allows. A report is
 * composed when it is sent. Must be used on the event loop only.
 */
final class ReportSender {

	private final LeaderPort leader;

	private final Supplier<HostReport> composer;

	private final Clock clock;

	private final Timer timer;

	private final ReportPacer pacer = new ReportPacer();

	private boolean requested;

	private Cancellable scheduled = () -> {
	};

	ReportSender(LeaderPort leader, Supplier<HostReport> composer, Clock clock, Timer timer) {
		this.leader = leader;
		this.composer = composer;
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Sends a report as soon as the pace of the leader allows it. Does nothing without a
	 * leader.
	 */
	void request() {
		if (!this.leader.connected()) {
			return;
		}
		long now = this.clock.nanoTime();
		Duration delay = this.leader.answersReports() ? this.pacer.delay(now) : Duration.ZERO;
		if (delay.compareTo(Duration.ZERO) <= 0) {
			this.requested = false;
			this.pacer.reportSent(now);
			this.leader.send(this.composer.get());
			return;
		}
		this.requested = true;
		this.scheduled.cancel();
		this.scheduled = this.timer.schedule(delay, this::sendRequested);
	}

	/**
	 * Starts anew on a new connection.
	 */
	void connected() {
		this.pacer.reset();
		request();
	}

	/**
	 * Records an answer of the leader.
	 * @param number the number of the answered report; 0 if the message answers none
	 */
	void answered(long number) {
		this.pacer.reportAnswered(number);
	}

	/**
	 * Sends a report that had to wait, if the pace allows it now.
	 */
	void sendRequested() {
		if (this.requested) {
			request();
		}
	}

}
