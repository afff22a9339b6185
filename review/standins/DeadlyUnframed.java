import java.util.List;

/**
 * Workers answer with streams that have neither a length nor chunks. Requests with a prompt part that crashes workers come
 * again and again: the worker writes the first event of its answer and ends, with all its connections. Sound requests
 * with the same first part come beside them, and are answered all the while.
 */
public final class DeadlyUnframed {
    private static final int WORKERS = 10;
    private static final int FIRST_EVENT_MILLISECONDS = 100;
    private static final int SOUND_INTERVAL_MILLISECONDS = 200;
    private static final int DEADLY_INTERVAL_MILLISECONDS = 1_500;
    private static final int DEADLY_MILLISECONDS = 30_000;
    private static final int CONTACT_MILLISECONDS = 3_000;
    private static final int ALLOWED = 3;
    private static final String FIRST_PART = "5c1e07a2:60";

    private DeadlyUnframed() {}

    public static void main(String[] arguments) {
        Case.run(arguments, DeadlyUnframed::play);
    }

    private static String play(Site site, boolean hasTrouble) throws Exception {
        site.configure(1, Engines.route(), "\"key-1\"");
        Engines engines = new Engines(site, WORKERS, FIRST_EVENT_MILLISECONDS, hasTrouble, false);
        List<Site.Gateway> gateways = List.of(site.startGateway("front-a-1"), site.startGateway("front-a-2"));
        SoundRequests sound = new SoundRequests(site, engines);
        sound.start(gateways, SOUND_INTERVAL_MILLISECONDS, 
            number -> FIRST_PART + ",a" + number % 7 + "1d03f06:400,b" + number + "e44027d:90");
        long end = site.now() + DEADLY_MILLISECONDS;
        for (int number = 0; site.now() < end; number++) {
            engines.request(gateways.get(number % gateways.size()), "deadly-" + number,
                FIRST_PART + "," + Engines.DEADLY_PART + ":400,c" + number + "e44027d:90");
            Case.sleep(DEADLY_INTERVAL_MILLISECONDS);
        }
        Case.sleep(1_000);
        if (!hasTrouble) {
            return null;
        }
        int late = engines.deadlyArrivalsAfter(engines.crashedAt(5) + CONTACT_MILLISECONDS);
        site.note("crashes: " + engines.crashes() + "; requests with the part that reached a worker later than "
            + CONTACT_MILLISECONDS + " ms after the fifth: " + late);
        if (engines.crashes() < 5) {
            return null;
        }
        return late <= ALLOWED ? null : "BUDGET: " + late + " requests with the part that crashes workers reached workers later than "
            + CONTACT_MILLISECONDS + " ms after the fifth crash";
    }
}
