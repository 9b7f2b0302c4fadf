package dev.waxwinghead.daemon;

/** Sets the limits of the JDK's HTTP server and client, which are configured by system properties. */
public final class HttpServerProperties {
    private static final int MAX_CONNECTIONS = 10_000;
    private static final int MAX_IDLE_CONNECTIONS = 2_000;
    private static final int IDLE_SECONDS = 60;
    private static final int REQUEST_SECONDS = 60;
    private static final int CLIENT_KEEP_ALIVE_SECONDS = 20;

    private HttpServerProperties() {}

    /** Sets the properties that are not set on the command line. Must be called before any server is created. */
    public static void apply() {
        set("sun.net.httpserver.nodelay", "true");
        set("jdk.httpserver.maxConnections", Integer.toString(MAX_CONNECTIONS));
        set("sun.net.httpserver.maxIdleConnections", Integer.toString(MAX_IDLE_CONNECTIONS));
        set("sun.net.httpserver.idleInterval", Integer.toString(IDLE_SECONDS));
        set("sun.net.httpserver.maxReqTime", Integer.toString(REQUEST_SECONDS));
        set("jdk.httpclient.keepalive.timeout", Integer.toString(CLIENT_KEEP_ALIVE_SECONDS));
    }

    private static void set(String name, String value) {
        if (System.getProperty(name) == null) {
            System.setProperty(name, value);
        }
    }
}
