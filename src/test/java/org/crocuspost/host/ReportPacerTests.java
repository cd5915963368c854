package org.crocuspost.host;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the pace of reports for a leader that answers late.
 */
class ReportPacerTests {

	private final ReportPacer pacer = new ReportPacer();

	/**
	 * Plays reports that are wanted all the time to a leader that answers each of them
	 * after a delay.
	 * @param answerDelay the delay of the answers
	 * @param total the duration
	 * @return the number of reports sent
	 */
	private int reportsSent(Duration answerDelay, Duration total) {
		int sent = 0;
		long answerNanos = Long.MAX_VALUE;
		for (long now = 0; now < total.toNanos(); now += TimeUnit.MILLISECONDS.toNanos(1)) {
			if (now >= answerNanos) {
				this.pacer.reportAnswered(sent);
				answerNanos = Long.MAX_VALUE;
			}
			if (this.pacer.delay(now).compareTo(Duration.ZERO) <= 0) {
				this.pacer.reportSent(now);
				sent++;
				answerNanos = now + answerDelay.toNanos();
			}
		}
		return sent;
	}

	@Test
	void firstReportIsSentImmediately() {
		assertThat(this.pacer.delay(0)).isZero();
	}

	@Test
	void promptAnswersAllowTheFullRate() {
		assertThat(reportsSent(Duration.ofMillis(5), Duration.ofSeconds(4))).isEqualTo(100);
	}

	@Test
	void lateAnswersSlowTheReportsDown() {
		assertThat(reportsSent(Duration.ofMillis(200), Duration.ofSeconds(4))).isEqualTo(20);
	}

	@Test
	void missingAnswersDoNotStopTheReports() {
		assertThat(reportsSent(Duration.ofHours(1), Duration.ofSeconds(4))).isEqualTo(8);
	}

	@Test
	void answerToAnEarlierReportDoesNotCount() {
		this.pacer.reportSent(0);
		this.pacer.reportSent(0);
		this.pacer.reportAnswered(1);
		assertThat(this.pacer.delay(0)).isEqualTo(ReportPacer.ANSWER_TIMEOUT);
		this.pacer.reportAnswered(2);
		assertThat(this.pacer.delay(0)).isEqualTo(ReportPacer.MINIMUM_INTERVAL);
	}

	@Test
	void newConnectionStartsAnew() {
		this.pacer.reportSent(0);
		this.pacer.reset();
		assertThat(this.pacer.delay(0)).isZero();
	}

}
