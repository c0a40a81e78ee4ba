package org.heatherhaven.node;

import org.heatherhaven.node.http.CallDialect;
import org.heatherhaven.node.http.DefaultDialect;
import org.heatherhaven.node.platform.HttpPlatform;
import org.heatherhaven.node.platform.Platform;
import org.heatherhaven.node.platform.PolicySource;
import org.heatherhaven.node.platform.VersionedPolicySource;
import org.heatherhaven.node.settings.NodeSettings;

/** Integration with heatherhaven's own interfaces: the default dialect and the platform's object API. */
final class DefaultIntegration implements Integration {

    private final CallDialect dialect = new DefaultDialect();
    private final HttpPlatform platform;
    private final PolicySource policies;

    DefaultIntegration(NodeSettings settings, Dependencies dependencies) {
        this.platform = new HttpPlatform(
                settings.platformUrl(),
                settings.platformTimeout(),
                dependencies.group(),
                dependencies.metrics()::countPlatformCall);
        this.policies = new VersionedPolicySource(platform, dependencies.clock());
    }

    @Override
    public CallDialect dialect() {
        return dialect;
    }

    @Override
    public Platform platform() {
        return platform;
    }

    @Override
    public PolicySource policySource() {
        return policies;
    }

    @Override
    public void close() {
        platform.close();
    }
}
