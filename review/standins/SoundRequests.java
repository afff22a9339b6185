import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntFunction;

/** Sends sound requests at a steady rate, to the gateways in turn, and counts those that began at a worker. */
final class SoundRequests {
    private record Sent(String id, long at) {}

    /** How many of the sent requests began at a worker, at the first attempt. */
    record Share(int begun, int sent) {
        @Override
        public String toString() {
            return begun + " of " + sent;
        }
    }

    private final Site site;
    private final Engines engines;
    private final List<Sent> requests = new CopyOnWriteArrayList<>();

    SoundRequests(Site site, Engines engines) {
        this.site = site;
        this.engines = engines;
    }

    /** Sends requests with {@code prompt}, of which the argument is the number of the request, until the case ends. */
    void start(List<Site.Gateway> gateways, int intervalMilliseconds, IntFunction<String> prompt) {
        Case.start(() -> {
            for (int number = 0; ; number++) {
                String id = "sound-" + number;
                requests.add(new Sent(id, site.now()));
                engines.request(gateways.get(number % gateways.size()), id, prompt.apply(number));
                Case.sleep(intervalMilliseconds);
            }
        });
    }

    private Share share(long from, long to) {
        List<Sent> sent = requests.stream().filter(request -> request.at >= from && request.at < to).toList();
        return new Share((int) sent.stream().filter(request -> engines.hasBegun(request.id)).count(), sent.size());
    }

    /**
     * Compares the share that began in a calm time with that in the judged time; returns how the rule LOST is broken, or
     * null.
     */
    String judge(long calmFrom, long calmTo, long judgedFrom, long judgedTo) {
        Share before = share(calmFrom, calmTo);
        Share after = share(judgedFrom, judgedTo);
        site.note("sound requests that began at a worker: " + before + " in the calm time, " + after + " from " + judgedFrom
            + " ms to " + judgedTo + " ms");
        if (before.sent < 20 || after.sent < 20 || before.begun * 2 < before.sent) {
            throw new Site.CannotRun("too few sound requests, or they are not served in the calm time");
        }
        boolean isBroken = after.begun * before.sent * 2 < before.begun * after.sent;
        return isBroken ? "LOST: of the sound requests with the same first part began " + after + ", " + before
            + " in the calm time" : null;
    }
}
