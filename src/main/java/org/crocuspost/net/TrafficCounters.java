package org.crocuspost.net;

import java.util.LinkedHashMap;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Counts the bytes that a process sends and receives, by kind of traffic. Headers of HTTP
 * and of the network are not included. Must be used on the event loop only.
 */
public final class TrafficCounters {

	private final Counter counter;

	private final Map<String, Totals> totals = new LinkedHashMap<>();

	/**
	 * Creates a meter and registers its metric.
	 * @param registry the metrics registry of the process
	 */
	public TrafficCounters(PrometheusRegistry registry) {
		this.counter = Counter.builder()
			.name("crocuspost_traffic_bytes_total")
			.help("Bytes of messages, by kind of traffic and direction.")
			.labelNames("kind", "direction")
			.register(registry);
	}

	/**
	 * Counts bytes.
	 * @param kind the kind of traffic
	 * @param sentBytes the number of bytes sent
	 * @param receivedBytes the number of bytes received
	 */
	public void count(String kind, long sentBytes, long receivedBytes) {
		this.counter.labelValues(kind, "sent").inc(sentBytes);
		this.counter.labelValues(kind, "received").inc(receivedBytes);
		this.totals.merge(kind, new Totals(sentBytes, receivedBytes), Totals::plus);
	}

	/**
	 * Creates a handler that counts all bytes of one connection. It must be the first in
	 * the pipeline.
	 * @param kind the kind of traffic
	 * @return the handler
	 */
	public ChannelHandler connectionHandler(String kind) {
		return new ConnectionHandler(kind);
	}

	/**
	 * Returns the bytes counted so far.
	 * @return the totals by kind of traffic
	 */
	public Map<String, Totals> totals() {
		return Map.copyOf(this.totals);
	}

	/**
	 * Bytes of one kind of traffic.
	 *
	 * @param sentBytes the number of bytes sent
	 * @param receivedBytes the number of bytes received
	 */
	public record Totals(long sentBytes, long receivedBytes) {

		/**
		 * Totals of a kind of traffic of which nothing was counted.
		 */
		public static final Totals ZERO = new Totals(0, 0);

		/**
		 * Returns the sum of two totals.
		 * @param other the other totals
		 * @return the sum
		 */
		public Totals plus(Totals other) {
			return new Totals(this.sentBytes + other.sentBytes, this.receivedBytes + other.receivedBytes);
		}

		/**
		 * Returns the difference to earlier totals.
		 * @param earlier the earlier totals
		 * @return the bytes counted since then
		 */
		public Totals minus(Totals earlier) {
			return new Totals(this.sentBytes - earlier.sentBytes, this.receivedBytes - earlier.receivedBytes);
		}

	}

	private final class ConnectionHandler extends ChannelDuplexHandler {

		private final String kind;

		private ConnectionHandler(String kind) {
			this.kind = kind;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (message instanceof ByteBuf bytes) {
				count(this.kind, 0, bytes.readableBytes());
			}
			context.fireChannelRead(message);
		}

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			if (message instanceof ByteBuf bytes) {
				count(this.kind, bytes.readableBytes(), 0);
			}
			context.write(message, promise);
		}

	}

}
