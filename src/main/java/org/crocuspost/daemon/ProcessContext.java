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
 * Threads and time of one process, shared by its parts.
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
	 * @param name the name of the process, which begins the names of its threads
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
	 * Returns the clock.
	 * @return the clock of the operating system
	 */
	public Clock clock() {
		return this.clock;
	}

	/**
	 * Returns the timer for short actions that never block.
	 * @return the timer
	 */
	public Timer timer() {
		return new ExecutorTimer(this.timerExecutor);
	}

	/**
	 * Starts a timer with a thread of its own, for actions that call the platform. It
	 * runs one action at a time.
	 * @param duty what the timer is for, part of the name of its thread
	 * @return the timer
	 */
	public Timer blockingTimer(String duty) {
		ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(threads(this.name + "-" + duty));
		this.blockingTimers.add(executor);
		return new ExecutorTimer(executor);
	}

	/**
	 * Returns the executor for calls to the platform that may run side by side.
	 * @return the executor
	 */
	public ExecutorService blockingExecutor() {
		return this.blocking;
	}

	/**
	 * Returns the threads for connections between processes.
	 * @return the group
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
