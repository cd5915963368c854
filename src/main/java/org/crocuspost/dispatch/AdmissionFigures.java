package org.crocuspost.dispatch;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The work ahead of a new job, by queue, as published by a leader.
 *
 * @param epoch the epoch of the leader
 * @param measuredMillis when the figures were measured, Unix time in milliseconds
 * @param validMillis until when they may be used, Unix time in milliseconds
 * @param backlogs the backlogs by queue; a queue without a lasting backlog is not listed
 * @param exclusiveImages the images of the backlogs that run only on workers without
 * services
 */
public record AdmissionFigures(long epoch, long measuredMillis, long validMillis, Map<String, Backlogs> backlogs,
		Set<String> exclusiveImages) {

	/**
	 * Maximum numbers of queues and images and maximum length of a name, so that the
	 * figures fit into a row of the store. What exceeds them is not published.
	 */
	private static final int MAXIMUM_QUEUES = 40;

	private static final int MAXIMUM_IMAGES = 60;

	private static final int MAXIMUM_NAME = 60;

	private static final int MAXIMUM_LENGTH = 40_000;

	private static final String QUEUE = "queue";

	private static final String IMAGE = "image";

	private static final int QUEUE_FIELDS = 6;

	private static final int HEAD_FIELDS = 3;

	public AdmissionFigures {
		backlogs = Map.copyOf(backlogs);
		exclusiveImages = Set.copyOf(exclusiveImages);
	}

	/**
	 * Encodes the figures.
	 * @return the text, of bounded length
	 */
	public String write() {
		StringBuilder text = new StringBuilder();
		text.append(this.epoch).append(' ').append(this.measuredMillis).append(' ').append(this.validMillis);
		new TreeMap<>(this.backlogs).entrySet()
			.stream()
			.filter((entry) -> encode(entry.getKey()).length() <= MAXIMUM_NAME)
			.limit(MAXIMUM_QUEUES)
			.forEach((entry) -> {
				Backlogs queue = entry.getValue();
				text.append('\n').append(QUEUE).append(' ').append(encode(entry.getKey()));
				for (Backlog backlog : new Backlog[] { queue.shared(), queue.exclusive() }) {
					text.append(' ').append(backlog.work()).append(' ').append(backlog.drainMilliCores());
				}
			});
		new TreeSet<>(this.exclusiveImages).stream()
			.map(AdmissionFigures::encode)
			.filter((image) -> image.length() <= MAXIMUM_NAME)
			.limit(MAXIMUM_IMAGES)
			.forEach((image) -> text.append('\n').append(IMAGE).append(' ').append(image));
		return text.toString();
	}

	private static String encode(String name) {
		return URLEncoder.encode(name, StandardCharsets.UTF_8);
	}

	/**
	 * Decodes figures.
	 * @param text the text
	 * @return the figures
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public static AdmissionFigures read(String text) {
		String[] lines = text.split("\n", -1);
		String[] head = lines[0].split(" ", -1);
		if (head.length != HEAD_FIELDS || text.length() > MAXIMUM_LENGTH) {
			throw new IllegalArgumentException("malformed head of the admission figures");
		}
		Map<String, Backlogs> backlogs = new TreeMap<>();
		Set<String> images = new HashSet<>();
		for (int number = 1; number < lines.length; number++) {
			String[] fields = lines[number].split(" ", -1);
			if (fields[0].equals(QUEUE) && fields.length == QUEUE_FIELDS) {
				backlogs.put(decode(fields[1]),
						new Backlogs(Backlog.read(fields[2], fields[3]), Backlog.read(fields[4], fields[5])));
			}
			else if (fields[0].equals(IMAGE) && fields.length == 2) {
				images.add(decode(fields[1]));
			}
			else {
				throw new IllegalArgumentException("malformed line " + number + " of the admission figures");
			}
		}
		return new AdmissionFigures(Long.parseLong(head[0]), Long.parseLong(head[1]), Long.parseLong(head[2]), backlogs,
				images);
	}

	private static String decode(String name) {
		return URLDecoder.decode(name, StandardCharsets.UTF_8);
	}

	/**
	 * Backlogs of a queue, by the kind of capacity that drains them.
	 *
	 * @param shared the work that can run beside services
	 * @param exclusive the work that runs only on workers without services
	 */
	public record Backlogs(Backlog shared, Backlog exclusive) {
	}

	/**
	 * Work ahead of a new job that waits for one kind of capacity.
	 *
	 * @param work the work of which no task is assigned, in core-milliseconds
	 * @param drainMilliCores the rate at which such work was completed, in thousandths of
	 * a core; 0 if there is no lasting backlog or no measured rate
	 */
	public record Backlog(long work, long drainMilliCores) {

		/**
		 * No known backlog.
		 */
		public static final Backlog NONE = new Backlog(0, 0);

		public Backlog {
			if (work < 0 || drainMilliCores < 0) {
				throw new IllegalArgumentException("a backlog and its drain rate must not be negative");
			}
		}

		private static Backlog read(String work, String drainMilliCores) {
			return new Backlog(Long.parseLong(work), Long.parseLong(drainMilliCores));
		}

		/**
		 * Returns whether the backlog is known to delay new jobs.
		 * @return false if nothing may be concluded from it
		 */
		public boolean known() {
			return this.drainMilliCores > 0;
		}

	}

}
