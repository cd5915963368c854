package org.crocuspost.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Timer;
import org.jspecify.annotations.Nullable;

/**
 * Connection to one address that is dialed again when it ends. The delay before the n-th
 * attempt in a row is drawn between zero and a bound that doubles with n, so that agents
 * which lost the same entry do not return together.
 */
public final class PeerLink {

	private static final Duration FIRST_DELAY_BOUND = Duration.ofMillis(50);

	private static final Duration LAST_DELAY_BOUND = Duration.ofSeconds(3);

	private static final int MAXIMUM_DOUBLINGS = 6;

	private static final Duration STABLE_CONNECTION = Duration.ofSeconds(1);

	private final Bootstrap bootstrap;

	private final InetSocketAddress address;

	private final Timer timer;

	private int failures;

	private boolean closed;

	private @Nullable Channel channel;

	private Cancellable nextDial = () -> {
	};

	PeerLink(Bootstrap bootstrap, InetSocketAddress address, Timer timer) {
		this.bootstrap = bootstrap;
		this.address = address;
		this.timer = timer;
	}

	/**
	 * Returns the address of the other process.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	synchronized void dial() {
		if (!this.closed) {
			this.bootstrap.connect(this.address).addListener((ChannelFuture future) -> dialed(future));
		}
	}

	private synchronized void dialed(ChannelFuture future) {
		if (!future.isSuccess()) {
			dialLater();
			return;
		}
		Channel connected = future.channel();
		if (this.closed) {
			connected.close();
			return;
		}
		this.channel = connected;
		Cancellable stable = this.timer.schedule(STABLE_CONNECTION, this::resetFailures);
		connected.closeFuture().addListener((close) -> {
			stable.cancel();
			dialLater();
		});
	}

	private synchronized void resetFailures() {
		this.failures = 0;
	}

	private synchronized void dialLater() {
		if (this.closed) {
			return;
		}
		long bound = FIRST_DELAY_BOUND.toNanos() << Math.min(this.failures, MAXIMUM_DOUBLINGS);
		this.failures++;
		long delay = ThreadLocalRandom.current().nextLong(Math.min(bound, LAST_DELAY_BOUND.toNanos())) + 1;
		this.nextDial = this.timer.schedule(Duration.ofNanos(delay), this::dial);
	}

	/**
	 * Closes the connection and dials no more.
	 */
	public synchronized void close() {
		this.closed = true;
		this.nextDial.cancel();
		if (this.channel != null) {
			this.channel.close();
		}
	}

}
