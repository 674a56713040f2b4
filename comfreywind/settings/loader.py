"""Loads YAML files into validated models."""

from pathlib import Path
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from comfreywind.errors import ComfreywindError, SettingsError

ModelType = TypeVar('ModelType', bound=BaseModel)


class UniqueKeyLoader(yaml.SafeLoader):
    """A safe loader that refuses a key given twice in one mapping."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Return the mapping; raise ConstructorError for a repeated key."""
        seen_keys: set[object] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen_keys:
                raise yaml.constructor.ConstructorError(
                    None, None, f'key {key!r} is given twice', key_node.start_mark
                )
            seen_keys.add(key)
        return super().construct_mapping(node, deep=deep)


def load_yaml(path: Path, error_type: type[ComfreywindError] = SettingsError) -> Any:
    """Return the document in the file; raise `error_type` naming file, line and reason."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as read_error:
        raise error_type(f"{path}: can't be read: {read_error}") from read_error
    try:
        return yaml.load(text, UniqueKeyLoader)  # noqa: S506 (subclass of SafeLoader)
    except yaml.YAMLError as yaml_error:
        reason = ' '.join(str(yaml_error).split())
        raise error_type(f'{path}: {reason}') from yaml_error


def validate_model(
    model_type: type[ModelType],
    document: object,
    source: str,
    error_type: type[ComfreywindError] = SettingsError,
) -> ModelType:
    """Return the document as a model; raise `error_type` with each key path and reason."""
    try:
        return model_type.model_validate(document)
    except ValidationError as validation_error:
        reasons = [
            f'{".".join(str(part) for part in error["loc"]) or "document"}: {error["msg"]}'
            for error in validation_error.errors()
        ]
        raise error_type(f'{source}: {"; ".join(reasons)}') from validation_error


def load_settings(model_type: type[ModelType], path: Path) -> ModelType:
    """Return the settings in the file; raise SettingsError when they are not valid."""
    return validate_model(model_type, load_yaml(path), str(path))
