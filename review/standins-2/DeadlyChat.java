import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Sessions beside requests with one part that crashes each worker that begins to write an answer on it. */
abstract class DeadlyChat extends Chat {
    static final int WORKERS = 13;
    static final long WARM_UP = 8_000;
    private static final long CONTACT = 3_000;

    /** Time after which a crashed worker is back. */
    private static final long BACK = 3_000;
    private static final int ALLOWED = 3;

    /** The part; empty until it is chosen. */
    volatile String deadly = "";
    private final List<Long> crashes = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();

    DeadlyChat(int digits, int firstParts, int leastTurns, int mostTurns) throws Exception {
        super(WORKERS, digits, firstParts, leastTurns, mostTurns);
    }

    private boolean isDeadly(Http.Message request) {
        return !deadly.isEmpty() && request.field("X-Guavahatch-Prompt-Prefix-Hash").contains(deadly);
    }

    @Override
    final void onArrival(Http.Message request) {
        if (!isDeadly(request)) return;
        synchronized (crashes) {
            arrivals.add(Scene.now());
        }
        scene.note("arrival of " + request.field("X-Guavahatch-Attempt-Id"));
    }

    @Override
    final boolean begin(Worker worker, Http.Message request) {
        if (!isDeadly(request)) return true;
        synchronized (crashes) {
            crashes.add(Scene.now());
        }
        scene.note("crash of " + worker.id + " by " + request.field("X-Guavahatch-Attempt-Id"));
        worker.crash(BACK);
        return false;
    }

    @Override
    final void onResult(String kind, long sentAt, Client.Result result) {
        // What counts is seen at the workers.
    }

    final void judge() {
        int unreadable = scene.logLines("peer.unreadable").size();
        scene.note("outcomes " + new TreeMap<>(outcomes));
        scene.logLines("quarantine.").forEach(scene::note);
        scene.note("datagrams between gateways that could not be read, by their logs: " + unreadable);
        if (!scene.hasTrouble) {
            boolean isServed = served() >= 0.9 * total();
            scene.finish(isServed ? 0 : 2, served() + " of " + total() + " served; unreadable datagrams " + unreadable);
        }
        synchronized (crashes) {
            if (crashes.size() < 5) scene.finish(0, "the part was held back after " + crashes.size() + " crashes");
            long fifth = crashes.get(4);
            long late = arrivals.stream().filter(at -> at > fifth + CONTACT).count();
            String verdict = arrivals.size() + " requests with the part reached workers, " + late
                + " of them later than " + CONTACT + " ms after the fifth crash (" + ALLOWED
                + " are allowed); unreadable datagrams " + unreadable;
            scene.finish(late > ALLOWED ? 1 : 0, verdict);
        }
    }
}
