package org.heatherhaven.node;

import org.heatherhaven.node.settings.NodeSettings;
import org.heatherhaven.node.settings.TomlTable;

/** Adapts a node to an environment with other interfaces than heatherhaven's own. Found by the service loader. */
public interface NodeAdapter {

    /**
     * Returns the name that selects this adapter.
     *
     * @return name in lower case
     */
    String name();

    /**
     * Reads the adapter's own part of the settings.
     *
     * @param settings root table of the settings file
     * @return factory of the node's integration
     */
    Integration.Factory readFactory(TomlTable settings);

    /**
     * Applies the limits and rules that the environment imposes to the node's settings. By default nothing changes.
     *
     * @param settings root table of the settings file
     * @param own the node's settings as read from the file
     * @return the settings to use
     */
    default NodeSettings adapt(TomlTable settings, NodeSettings own) {
        return own;
    }
}
