package org.crocuspost.report;

import java.time.Duration;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * How urgent the burn of a service is. An alert needs a high rate over a short and a long
 * window: the long one keeps a brief spike from raising it, the short one ends it soon
 * after the cause is gone.
 */
public enum BurnAlert {

	/**
	 * The budget lasts.
	 */
	NONE(0, Duration.ZERO, Duration.ZERO),

	/**
	 * The budget of 30 days would be gone within 5 days.
	 */
	TICKET(6, Duration.ofMinutes(30), Duration.ofHours(6)),

	/**
	 * The budget of 30 days would be gone within about 2 days.
	 */
	PAGE(14.4, Duration.ofMinutes(5), Duration.ofHours(1));

	/**
	 * Windows over which burn is reported, shortest first.
	 */
	public static final List<Duration> WINDOWS = List.of(PAGE.shortWindow, TICKET.shortWindow, PAGE.longWindow,
			TICKET.longWindow);

	private final double rate;

	private final Duration shortWindow;

	private final Duration longWindow;

	BurnAlert(double rate, Duration shortWindow, Duration longWindow) {
		this.rate = rate;
		this.shortWindow = shortWindow;
		this.longWindow = longWindow;
	}

	static BurnAlert of(List<BurnWindow> windows) {
		for (BurnAlert alert : List.of(PAGE, TICKET)) {
			if (alert.raised(windows, BurnWindow::availabilityBurn) || alert.raised(windows, BurnWindow::latencyBurn)) {
				return alert;
			}
		}
		return NONE;
	}

	private boolean raised(List<BurnWindow> windows, ToDoubleFunction<BurnWindow> burn) {
		return windows.stream()
			.filter((window) -> window.length().equals(this.shortWindow) || window.length().equals(this.longWindow))
			.allMatch((window) -> burn.applyAsDouble(window) > this.rate);
	}

}
