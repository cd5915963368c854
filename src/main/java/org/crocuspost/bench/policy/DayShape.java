package org.crocuspost.bench.policy;

/**
 * Load of services over a day.
 */
public enum DayShape {

	/**
	 * Top-ups in the morning and checks of balances at noon.
	 */
	CANTEEN(6.5, 9, 11.5, 13) {

		@Override
		double load(double hour) {
			return 0.1 + 0.9 * bump(hour, 7.8, 0.9) + 0.6 * bump(hour, 12.2, 0.7) + 0.25 * bump(hour, 17, 2.5);
		}

	},

	/**
	 * Arrivals before noon and departures in the evening.
	 */
	FESTIVAL(9, 12, 17, 21) {

		@Override
		double load(double hour) {
			return 0.12 + 0.6 * bump(hour, 10.5, 1.5) + 0.85 * bump(hour, 19, 1.8);
		}

	};

	private static final double DAY_BEGIN = 6;

	private static final double DAY_END = 21;

	private final double firstBegin;

	private final double firstEnd;

	private final double secondBegin;

	private final double secondEnd;

	DayShape(double firstBegin, double firstEnd, double secondBegin, double secondEnd) {
		this.firstBegin = firstBegin;
		this.firstEnd = firstEnd;
		this.secondBegin = secondBegin;
		this.secondEnd = secondEnd;
	}

	/**
	 * Returns the load.
	 * @param hour the hour, from 0 to 24
	 * @return the load relative to the peak
	 */
	abstract double load(double hour);

	/**
	 * Says whether the requests of an hour count as those of the peak.
	 * @param hour the hour
	 * @return true within the peaks
	 */
	boolean peak(double hour) {
		return (hour >= this.firstBegin && hour < this.firstEnd) || (hour >= this.secondBegin && hour < this.secondEnd);
	}

	/**
	 * Says whether an hour belongs to the daytime.
	 * @param hour the hour
	 * @return true from morning to evening
	 */
	boolean daytime(double hour) {
		return hour >= DAY_BEGIN && hour < DAY_END;
	}

	private static double bump(double hour, double centre, double width) {
		double distance = (hour - centre) / width;
		return Math.exp(-distance * distance / 2);
	}

}
