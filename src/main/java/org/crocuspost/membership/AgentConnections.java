package org.crocuspost.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.store.Backoff;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.Frame;

/**
 * Keeps an agent connected to its entries and to the scheduler of its failure domain. The
 * agent receives the lists of these processes from its entries. While it is connected to
 * none, it reads the table, with exponential backoff and with jitter, so that agents read
 * at different times.
 *
 * <p>
 * Another process may use an address after the listed process has ended. A connection is
 * therefore accepted only if the process at the other end is the listed one: same role,
 * name and incarnation. Any other connection is closed before the listener is notified of
 * it.
 */
public final class AgentConnections implements PeerListener, AgentViewListener {

	private final AgentConnectionSettings settings;

	private final EntryFinder entryFinder;

	private final DirectoryReceiver directoryReceiver;

	private final PeerListener listener;

	private final PeerLinks links;

	private final Timer timer;

	private final Backoff backoff;

	private final RandomGenerator random;

	private int searchAttempts;

	private Cancellable nextSearch = () -> {
	};

	/**
	 * Creates an instance without connections; {@link #start()} opens them.
	 * @param settings the settings of the connections
	 * @param entryFinder searches the table for entries
	 * @param dialer opens connections, with this object as their listener
	 * @param listener receives the events of connections to expected processes only
	 * @param clock the clock
	 * @param timer runs the searches, which block
	 * @param random the source of the jitter
	 */
	public AgentConnections(AgentConnectionSettings settings, EntryFinder entryFinder, Dialer dialer,
			PeerListener listener, Clock clock, Timer timer, RandomGenerator random) {
		this.settings = settings;
		this.entryFinder = entryFinder;
		this.directoryReceiver = new DirectoryReceiver(settings.failureDomain(), clock, this);
		this.listener = listener;
		this.links = new PeerLinks(dialer, timer, settings.linger());
		this.timer = timer;
		this.backoff = new Backoff(settings.searchDelay(), settings.maximumSearchDelay());
		this.random = random;
	}

	/**
	 * Starts searching for entries and connects to those found.
	 */
	public synchronized void start() {
		this.nextSearch = this.timer.schedule(Duration.ZERO, this::search);
	}

	/**
	 * Ends the search and closes all connections.
	 */
	public synchronized void stop() {
		this.nextSearch.cancel();
		this.links.closeAll();
	}

	private void search() {
		if (!connectedToEntry()) {
			EventLog.info(MembershipEvent.ENTRIES_SOUGHT, Field.of("attempt", this.searchAttempts));
			this.entryFinder.find().forEach(this::viewChanged);
		}
		scheduleSearch();
	}

	private synchronized boolean connectedToEntry() {
		boolean connected = this.links.isConnectedTo(PeerIdentity.Role.ENTRY);
		this.searchAttempts = connected ? 0 : this.searchAttempts + 1;
		return connected;
	}

	private synchronized void scheduleSearch() {
		Duration delay = this.backoff.delay(Math.max(0, this.searchAttempts - 1), this.random);
		this.nextSearch = this.timer.schedule(delay, this::search);
	}

	@Override
	public synchronized void viewChanged(AgentView view) {
		// Rows of ended entries stay in the table for a while, so each further search
		// ranks the entries by another key to select others.
		String rankingKey = (this.searchAttempts <= 1) ? this.settings.agent()
				: this.settings.agent() + '#' + this.searchAttempts;
		EntrySelection selection = new EntrySelection(rankingKey, this.settings.entryConnections());
		List<Member> targets = new ArrayList<>(selection.select(view.entries()));
		view.shardHolder().ifPresent((holder) -> targets.add(holder.scheduler()));
		this.links.setTargets(targets);
	}

	@Override
	public void connected(Peer peer) {
		if (!this.links.accept(peer)) {
			EventLog.warn(MembershipEvent.PEER_UNEXPECTED, Field.of("role", peer.identity().role()),
					Field.of("name", peer.identity().name()));
			peer.close();
			return;
		}
		if (peer.identity().role() == PeerIdentity.Role.ENTRY) {
			resetSearchAttempts();
		}
		this.listener.connected(peer);
	}

	private synchronized void resetSearchAttempts() {
		this.searchAttempts = 0;
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (this.links.isAccepted(peer)) {
			this.directoryReceiver.received(peer, frame);
			this.listener.received(peer, frame);
		}
	}

	@Override
	public void disconnected(Peer peer) {
		if (this.links.remove(peer)) {
			this.listener.disconnected(peer);
		}
	}

}
