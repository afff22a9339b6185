import java.util.List;

/**
 * A batch of requests with a prompt part that crashes workers arrives among sound requests that have the same first
 * part, the system prompt of their route. More requests with that part follow, one a second.
 */
public final class DeadlyBatch {
    private static final int WORKERS = 5;
    private static final int BATCH = 10;
    private static final int FIRST_EVENT_MILLISECONDS = 200;
    private static final int CALM_MILLISECONDS = 10_000;
    private static final int SOUND_INTERVAL_MILLISECONDS = 400;
    private static final int DEADLY_INTERVAL_MILLISECONDS = 1_000;
    private static final int TWICE_CONTACT_MILLISECONDS = 6_000;
    private static final int JUDGED_MILLISECONDS = 15_000;
    private static final String FIRST_PART = "5c1e07a2:60";

    private DeadlyBatch() {}

    public static void main(String[] arguments) {
        Case.run(arguments, DeadlyBatch::play);
    }

    private static String play(Site site, boolean hasTrouble) throws Exception {
        site.configure(1, Engines.route(), "\"key-1\"");
        Engines engines = new Engines(site, WORKERS, FIRST_EVENT_MILLISECONDS, hasTrouble);
        List<Site.Gateway> gateways = List.of(site.startGateway("front-a-1"), site.startGateway("front-a-2"));
        SoundRequests sound = new SoundRequests(site, engines);
        long calmFrom = site.now();
        sound.start(gateways, SOUND_INTERVAL_MILLISECONDS,
            number -> FIRST_PART + ",a" + number % 7 + "1d03f06:400,b" + number + "e44027d:90");
        Case.sleep(CALM_MILLISECONDS);
        long batchAt = site.now();
        int number = 0;
        while (number < BATCH) {
            sendDeadly(engines, gateways, number++);
        }
        Case.sleep(1_500);
        long judgedFrom = (hasTrouble ? engines.crashedAt(5) : batchAt) + TWICE_CONTACT_MILLISECONDS;
        while (site.now() < judgedFrom + JUDGED_MILLISECONDS) {
            sendDeadly(engines, gateways, number++);
            Case.sleep(DEADLY_INTERVAL_MILLISECONDS);
        }
        Case.sleep(1_000);
        site.note("crashes: " + engines.crashes());
        if (hasTrouble && engines.crashes() == 0) {
            throw new Site.CannotRun("no worker crashed");
        }
        return sound.judge(calmFrom, batchAt, judgedFrom, judgedFrom + JUDGED_MILLISECONDS);
    }

    private static void sendDeadly(Engines engines, List<Site.Gateway> gateways, int number) {
        engines.request(gateways.get(number % gateways.size()), "deadly-" + number,
            FIRST_PART + "," + Engines.DEADLY_PART + ":400,c" + number + "e44027d:90");
    }
}
