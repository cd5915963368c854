package org.crocuspost.platform.hosted;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which connections of callers a stopping entry closes.
 */
class InFlightRequestsTests {

	private final InFlightRequests requests = new InFlightRequests();

	private final EmbeddedChannel connection = new EmbeddedChannel();

	/**
	 * Guards against a request that was read and gets no answer.
	 */
	@Test
	void closesAConnectionOnlyWhenItsRequestHasEnded() {
		Runnable first = this.requests.begin(this.connection);
		first.run();
		Runnable second = this.requests.begin(this.connection);
		first.run();
		assertThat(this.requests.count()).isOne();
		this.requests.close();
		this.connection.runPendingTasks();
		assertThat(this.connection.isOpen()).isTrue();
		second.run();
		assertThat(this.requests.count()).isZero();
		this.requests.closeIdleConnections();
		this.connection.runPendingTasks();
		assertThat(this.connection.isOpen()).isFalse();
	}

	/**
	 * Guards against a connection that stays open until the end of the drain, since its
	 * response was sent without a mark and its request ended after the process began to
	 * close.
	 */
	@Test
	void closesAConnectionWhoseRequestEndsAfterTheProcessBeganToClose() {
		Runnable end = this.requests.begin(this.connection);
		this.requests.close();
		this.connection.runPendingTasks();
		assertThat(this.connection.isOpen()).isTrue();
		end.run();
		this.connection.runPendingTasks();
		assertThat(this.connection.isOpen()).isFalse();
	}

	/**
	 * The request is read after the decision to close the connection.
	 */
	@Test
	void keepsAConnectionWhoseRequestWasReadMeanwhile() {
		this.requests.begin(this.connection).run();
		this.requests.close();
		this.requests.begin(this.connection);
		this.connection.runPendingTasks();
		assertThat(this.connection.isOpen()).isTrue();
	}

	/**
	 * Guards against a stop that waits for a request whose caller has left.
	 */
	@Test
	void aRequestEndsWhenItsCallerClosesTheConnection() {
		Runnable end = this.requests.begin(this.connection);
		this.connection.close();
		this.connection.runPendingTasks();
		assertThat(this.requests.count()).isZero();
		end.run();
		assertThat(this.requests.count()).isZero();
	}

}
