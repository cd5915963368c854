package org.crocuspost.daemon;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ExecutorTimer;
import org.crocuspost.time.SystemClock;
import org.crocuspost.time.Timer;

/**
 * Holds the threads and the clock of one process, which its components share.
 */
public final class ProcessContext implements AutoCloseable {

	private static final int BLOCKING_THREADS = 4;

	private static final int TIMER_THREADS = 2;

	private final Clock clock = new SystemClock();

	private final ScheduledExecutorService timerExecutor;

	private final List<ScheduledExecutorService> blockingTimers = new CopyOnWriteArrayList<>();

	private final String name;

	private final ExecutorService blocking;

	private final EventLoopGroup network;

	/**
	 * Starts the threads.
	 * @param name the name of the process, used as prefix of its thread names
	 * @param networkThreads the number of threads for connections between processes
	 */
	public ProcessContext(String name, int networkThreads) {
		this.name = name;
		this.timerExecutor = Executors.newScheduledThreadPool(TIMER_THREADS, threads(name + "-timer"));
		this.blocking = Executors.newFixedThreadPool(BLOCKING_THREADS, threads(name + "-platform"));
		this.network = new NioEventLoopGroup(networkThreads, threads(name + "-network"));
	}

	private static ThreadFactory threads(String name) {
		return new DefaultThreadFactory(name, true);
	}

	/**
	 * Returns the clock of the operating system.
	 * @return the clock
	 */
	public Clock clock() {
		return this.clock;
	}

	/**
	 * Returns a timer for short actions that never block.
	 * @return the timer
	 */
	public Timer timer() {
		return new ExecutorTimer(this.timerExecutor);
	}

	/**
	 * Starts a timer with its own thread for actions that call the platform and may
	 * block. The timer runs one action at a time.
	 * @param purpose the purpose of the timer, used as suffix of its thread name
	 * @return the timer
	 */
	public Timer blockingTimer(String purpose) {
		ScheduledExecutorService executor = Executors
			.newSingleThreadScheduledExecutor(threads(this.name + "-" + purpose));
		this.blockingTimers.add(executor);
		return new ExecutorTimer(executor);
	}

	/**
	 * Returns the executor for blocking calls to the platform that may run concurrently.
	 * @return the executor
	 */
	public ExecutorService blockingExecutor() {
		return this.blocking;
	}

	/**
	 * Returns the event loops for connections between processes.
	 * @return the event loop group
	 */
	public EventLoopGroup eventLoopGroup() {
		return this.network;
	}

	@Override
	public void close() {
		this.timerExecutor.shutdownNow();
		this.blockingTimers.forEach(ScheduledExecutorService::shutdownNow);
		this.blocking.shutdownNow();
		this.network.shutdownGracefully();
	}

}
