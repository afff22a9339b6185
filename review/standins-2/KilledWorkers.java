import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The processes on all machines of the workers are killed at the same time, and start again after two seconds. */
final class KilledWorkers extends Chat {
    private static final int WORKERS = 12;
    private static final long KILLED_AT = 15_000;
    private static final long OFF = 2_000;
    private static final long RECOVERY = 12_000;
    private static final long LENGTH = 45_000;

    private volatile long backAt = Long.MAX_VALUE;
    private volatile long killedAt = Long.MAX_VALUE;
    private final AtomicInteger sentBefore = new AtomicInteger();
    private final AtomicInteger servedBefore = new AtomicInteger();
    private final AtomicInteger sentAfter = new AtomicInteger();
    private final AtomicInteger servedAfter = new AtomicInteger();

    private KilledWorkers() throws Exception {
        super(WORKERS, 8, Integer.getInteger("first.parts", 1), 1, 12);
    }

    @Override
    void onArrival(Http.Message request) {
        // What counts is seen at the clients.
    }

    @Override
    boolean begin(Worker worker, Http.Message request) {
        return true;
    }

    @Override
    void onResult(String kind, long sentAt, Client.Result result) {
        boolean isServed = result.status() == 200 && result.isWhole();
        if (sentAt + TIME_LIMIT < killedAt) {
            sentBefore.incrementAndGet();
            if (isServed) servedBefore.incrementAndGet();
        }
        if (sentAt > backAt && sentAt - backAt > RECOVERY) {
            sentAfter.incrementAndGet();
            if (isServed) servedAfter.incrementAndGet();
        }
    }

    private void play() {
        long start = Scene.now();
        boolean isOver = false;
        while (Scene.now() - start < LENGTH) {
            if (!isOver && Scene.now() - start >= KILLED_AT) {
                isOver = true;
                killedAt = Scene.now();
                // A change of the configuration is acknowledged just before the fault, which comes in either run.
                configure();
                if (scene.hasTrouble) {
                    scene.note("all workers are killed");
                    Worker.crash(workers, OFF);
                }
                backAt = killedAt + OFF;
            }
            sendSound(start);
        }
        Scene.sleep(TIME_LIMIT + 500);
        judge();
    }

    private void judge() {
        scene.note("outcomes " + new TreeMap<>(outcomes));
        scene.logLines("quarantine.").forEach(scene::note);
        scene.note("rows of the gateways in the store: quarantines " + scene.store.keys("quarantines"));
        String verdict = servedBefore + " of " + sentBefore + " requests served before the fault, " + servedAfter
            + " of " + sentAfter + " of those sent later than " + RECOVERY + " ms after the machines are back";
        if (sentAfter.get() < 100 || servedBefore.get() * 4 < sentBefore.get()) scene.finish(2, verdict);
        scene.finish(servedAfter.get() * 4 < sentAfter.get() ? 1 : 0, verdict);
    }

    public static void main(String[] arguments) throws Exception {
        new KilledWorkers().play();
    }
}
